// Package logging makes the log of a program of appleplank.
package logging

import (
	"fmt"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a log to standard error of what has at least the given level (debug, info, warn or error), as "text" or "json".
func New(level, format string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	cfg := zap.NewProductionConfig()
	cfg.Level, cfg.DisableStacktrace, cfg.DisableCaller = zap.NewAtomicLevelAt(l), true, true
	cfg.OutputPaths = []string{"stderr"}
	cfg.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	switch format {
	case "json":
	case "text":
		cfg.Encoding = "console"
		cfg.EncoderConfig.EncodeLevel = zapcore.CapitalLevelEncoder
	default:
		return nil, fmt.Errorf("--log-format is %q, want text or json", format)
	}
	return cfg.Build()
}

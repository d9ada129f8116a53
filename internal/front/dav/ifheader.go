package dav

import (
	"errors"
	"strings"
)

// ifList is a list of an If header (RFC 9110 has no such header; it is RFC 4918, section 10.4): all conditions must hold.
type ifList struct {
	resource   string // URL it is about; empty: that of the request
	conditions []ifCondition
}

type ifCondition struct {
	not   bool
	token string // a lock's, or
	etag  string // with its quotes
}

var errIf = errors.New("dav: the If header is not well formed")

// mostConditions bounds an If header.
const mostConditions = 256

// parseIf reads an If header. Tagged and untagged lists must not be mixed.
func parseIf(s string) (lists []ifList, err error) {
	tag, tagged, n := "", false, 0
	for s = strings.TrimLeft(s, " \t"); s != ""; s = strings.TrimLeft(s, " \t") {
		switch s[0] {
		case '<':
			end := strings.IndexByte(s, '>')
			if end < 0 || len(lists) > 0 && !tagged {
				return nil, errIf
			}
			tag, tagged, s = s[1:end], true, s[end+1:]
			if tag == "" || !strings.HasPrefix(strings.TrimLeft(s, " \t"), "(") {
				return nil, errIf
			}
		case '(':
			l := ifList{resource: tag}
			for s = strings.TrimLeft(s[1:], " \t"); ; s = strings.TrimLeft(s, " \t") {
				var c ifCondition
				if rest, ok := strings.CutPrefix(s, "Not"); ok {
					c.not, s = true, strings.TrimLeft(rest, " \t")
				}
				if s == "" {
					return nil, errIf
				}
				switch s[0] {
				case '<':
					end := strings.IndexByte(s, '>')
					if end < 2 {
						return nil, errIf
					}
					c.token, s = s[1:end], s[end+1:]
				case '[':
					end := strings.IndexByte(s, ']')
					if end < 0 {
						return nil, errIf
					}
					if c.etag, s = s[1:end], s[end+1:]; !isETag(c.etag) {
						return nil, errIf
					}
				case ')':
					if c.not || len(l.conditions) == 0 {
						return nil, errIf
					}
					s = s[1:]
					lists = append(lists, l)
				default:
					return nil, errIf
				}
				if c.token == "" && c.etag == "" {
					break
				}
				if n++; n > mostConditions {
					return nil, errIf
				}
				l.conditions = append(l.conditions, c)
			}
		default:
			return nil, errIf
		}
	}
	if len(lists) == 0 {
		return nil, errIf
	}
	return lists, nil
}

func isETag(s string) bool {
	s = strings.TrimPrefix(s, "W/")
	return len(s) >= 2 && s[0] == '"' && s[len(s)-1] == '"'
}

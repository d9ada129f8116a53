package dav

import (
	"errors"
	"strings"
)

// ifList is one list of an If header (RFC 4918, section 10.4; the header is not part of RFC 9110). It holds if all its
// conditions hold.
type ifList struct {
	resource   string // URL that the list applies to; empty for the request's own
	conditions []ifCondition
}

// ifCondition is one condition of an ifList. Either token or etag is set.
type ifCondition struct {
	negated bool
	token   string // lock token
	etag    string // entity tag with its quotes
}

var errIfHeader = errors.New("dav: the If header is not well formed")

// maxIfConditions limits the number of conditions in an If header.
const maxIfConditions = 256

// parseIfHeader parses an If header. It rejects a header that has tagged lists after untagged ones.
func parseIfHeader(s string) (lists []ifList, err error) {
	tag, tagged, count := "", false, 0
	for s = strings.TrimLeft(s, " \t"); s != ""; s = strings.TrimLeft(s, " \t") {
		switch s[0] {
		case '<':
			end := strings.IndexByte(s, '>')
			if end < 0 || len(lists) > 0 && !tagged {
				return nil, errIfHeader
			}
			tag, tagged, s = s[1:end], true, s[end+1:]
			if tag == "" || !strings.HasPrefix(strings.TrimLeft(s, " \t"), "(") {
				return nil, errIfHeader
			}
		case '(':
			l := ifList{resource: tag}
			for s = strings.TrimLeft(s[1:], " \t"); ; s = strings.TrimLeft(s, " \t") {
				var c ifCondition
				if rest, ok := strings.CutPrefix(s, "Not"); ok {
					c.negated, s = true, strings.TrimLeft(rest, " \t")
				}
				if s == "" {
					return nil, errIfHeader
				}
				switch s[0] {
				case '<':
					end := strings.IndexByte(s, '>')
					if end < 2 {
						return nil, errIfHeader
					}
					c.token, s = s[1:end], s[end+1:]
				case '[':
					end := strings.IndexByte(s, ']')
					if end < 0 {
						return nil, errIfHeader
					}
					if c.etag, s = s[1:end], s[end+1:]; !isETag(c.etag) {
						return nil, errIfHeader
					}
				case ')':
					if c.negated || len(l.conditions) == 0 {
						return nil, errIfHeader
					}
					s = s[1:]
					lists = append(lists, l)
				default:
					return nil, errIfHeader
				}
				if c.token == "" && c.etag == "" {
					break
				}
				if count++; count > maxIfConditions {
					return nil, errIfHeader
				}
				l.conditions = append(l.conditions, c)
			}
		default:
			return nil, errIfHeader
		}
	}
	if len(lists) == 0 {
		return nil, errIfHeader
	}
	return lists, nil
}

// isETag reports whether s has the form of a strong or weak entity tag.
func isETag(s string) bool {
	s = strings.TrimPrefix(s, "W/")
	return len(s) >= 2 && s[0] == '"' && s[len(s)-1] == '"'
}

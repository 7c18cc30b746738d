package router

import (
	"strconv"
	"unicode/utf8"
)

const hexDigits = "0123456789abcdef"

// appendJSONString appends text as a JSON string. Bytes that are not UTF-8
// become the replacement character.
func appendJSONString(dst []byte, text string) []byte {
	dst = append(dst, '"')
	from := 0
	for i := 0; i < len(text); {
		c := text[i]
		if c < utf8.RuneSelf {
			if c >= ' ' && c != '"' && c != '\\' {
				i++
				continue
			}
			dst = append(dst, text[from:i]...)
			dst = appendEscape(dst, c)
			i++
			from = i
			continue
		}
		r, size := utf8.DecodeRuneInString(text[i:])
		if r == utf8.RuneError && size == 1 {
			dst = append(dst, text[from:i]...)
			dst = append(dst, `\ufffd`...)
			i++
			from = i
			continue
		}
		i += size
	}
	dst = append(dst, text[from:]...)
	return append(dst, '"')
}

func appendEscape(dst []byte, c byte) []byte {
	switch c {
	case '"', '\\':
		return append(dst, '\\', c)
	case '\n':
		return append(dst, '\\', 'n')
	case '\r':
		return append(dst, '\\', 'r')
	case '\t':
		return append(dst, '\\', 't')
	default:
		return append(dst, '\\', 'u', '0', '0', hexDigits[c>>4], hexDigits[c&0xf])
	}
}

// appendHead appends the fields that all chunks of one answer share.
func appendHead(dst []byte, object, id, model string, created int64) []byte {
	dst = append(dst, `{"id":`...)
	dst = appendJSONString(dst, id)
	dst = append(dst, `,"object":"`...)
	dst = append(dst, object...)
	dst = append(dst, `","created":`...)
	dst = strconv.AppendInt(dst, created, 10)
	dst = append(dst, `,"model":`...)
	dst = appendJSONString(dst, model)
	return dst
}

// appendEvent appends a server-sent event with one chunk. head comes from
// appendHead; role is true on the first chunk.
func appendEvent(dst, head []byte, role bool, text string) []byte {
	dst = append(dst, "data: "...)
	dst = append(dst, head...)
	dst = append(dst, `,"choices":[{"index":0,"delta":{`...)
	if role {
		dst = append(dst, `"role":"assistant",`...)
	}
	dst = append(dst, `"content":`...)
	dst = appendJSONString(dst, text)
	return append(dst, "},\"finish_reason\":null}]}\n\n"...)
}

// appendLastEvents appends the chunk with the finish reason and the end mark.
func appendLastEvents(dst, head []byte, finish string) []byte {
	dst = append(dst, "data: "...)
	dst = append(dst, head...)
	dst = append(dst, `,"choices":[{"index":0,"delta":{},"finish_reason":`...)
	dst = appendJSONString(dst, finish)
	return append(dst, "}]}\n\ndata: [DONE]\n\n"...)
}

// appendErrorEvent appends the event that ends an answer that is not whole.
func appendErrorEvent(dst, body []byte) []byte {
	dst = append(dst, "event: error\ndata: "...)
	dst = append(dst, body...)
	return append(dst, "\n\n"...)
}

// appendCompletion appends a whole answer.
func appendCompletion(dst, head []byte, text, finish string, tokens uint32) []byte {
	dst = append(dst, head...)
	dst = append(dst, `,"choices":[{"index":0,"message":{"role":"assistant","content":`...)
	dst = appendJSONString(dst, text)
	dst = append(dst, `},"finish_reason":`...)
	dst = appendJSONString(dst, finish)
	dst = append(dst, `}],"usage":{"completion_tokens":`...)
	dst = strconv.AppendUint(dst, uint64(tokens), 10)
	return append(dst, "}}\n"...)
}

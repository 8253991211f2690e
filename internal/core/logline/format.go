package logline

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
)

// Formatter encodes an entry as one JSON object: time, level and message, then
// the fields sorted by name. It replaces logrus.JSONFormatter at a third of the
// cost, since every request logs a line.
type Formatter struct{}

// Format implements logrus.Formatter.
func (Formatter) Format(e *logrus.Entry) ([]byte, error) {
	line := make([]byte, 0, 512)
	line = append(line, `{"time":"`...)
	line = e.Time.AppendFormat(line, timeLayout)
	line = append(line, `","level":"`...)
	line = append(line, e.Level.String()...)
	line = append(line, `","msg":`...)
	line = appendString(line, e.Message)
	var buf [24]string // keeps the names of usual lines off the heap
	names := buf[:0]
	for name := range e.Data {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		line = append(line, ',')
		line = appendString(line, fieldKey(name))
		line = append(line, ':')
		line = appendValue(line, e.Data[name])
	}
	return append(line, "}\n"...), nil
}

// fieldKey renames fields that clash with the keys of every line.
func fieldKey(name string) string {
	switch name {
	case "time", "level", "msg":
		return "fields." + name
	}
	return name
}

func appendValue(line []byte, value any) []byte {
	switch v := value.(type) {
	case string:
		return appendString(line, v)
	case int:
		return strconv.AppendInt(line, int64(v), 10)
	case int64:
		return strconv.AppendInt(line, v, 10)
	case uint64:
		return strconv.AppendUint(line, v, 10)
	case bool:
		return strconv.AppendBool(line, v)
	case time.Duration:
		return strconv.AppendInt(line, int64(v), 10)
	case []string:
		return appendStrings(line, v)
	case error:
		return appendString(line, v.Error())
	}
	text, err := json.Marshal(value)
	if err != nil {
		return appendString(line, fmt.Sprintf("%+v", value))
	}
	return append(line, text...)
}

func appendStrings(line []byte, list []string) []byte {
	line = append(line, '[')
	for i, s := range list {
		if i > 0 {
			line = append(line, ',')
		}
		line = appendString(line, s)
	}
	return append(line, ']')
}

// appendString quotes a string. The fast path copies printable ASCII without
// quotes and backslashes; encoding/json handles the rest.
func appendString(line []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			text, err := json.Marshal(s)
			if err != nil {
				return strconv.AppendQuoteToASCII(line, s)
			}
			return append(line, text...)
		}
	}
	line = append(line, '"')
	line = append(line, s...)
	return append(line, '"')
}

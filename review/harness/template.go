package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"sort"
	"strings"
)

// render fills in one of the templates of the deploy file as DEPLOY.md describes it, as far as
// the project's templates use that: values, |json, sections over tables and values, {{@}}, {{.}}.
func render(text string, fields map[string]any) string { return renderIn(text, []any{fields}, "") }

var openTag = regexp.MustCompile(`\{\{#([^}]+)\}\}\n?`)

func renderIn(text string, scope []any, key string) string {
	var out strings.Builder
	for {
		at := openTag.FindStringSubmatchIndex(text)
		if at == nil {
			out.WriteString(fill(text, scope, key))
			return out.String()
		}
		name := text[at[2]:at[3]]
		end := "{{/" + name + "}}"
		close := strings.Index(text, end)
		out.WriteString(fill(text[:at[0]], scope, key))
		body := text[at[1]:close]
		switch value := lookup(scope, name).(type) {
		case nil:
		case bool:
			if value {
				out.WriteString(renderIn(body, scope, key))
			}
		case map[string]any:
			keys := make([]string, 0, len(value))
			for k := range value {
				keys = append(keys, k)
			}
			sort.Strings(keys)
			for _, k := range keys {
				out.WriteString(renderIn(body, append(scope[:len(scope):len(scope)], value[k]), k))
			}
		default:
			out.WriteString(renderIn(body, append(scope[:len(scope):len(scope)], value), key))
		}
		text = strings.TrimPrefix(text[close+len(end):], "\n")
	}
}

var valueTag = regexp.MustCompile(`\{\{([^#/}][^}]*)\}\}`)

func fill(text string, scope []any, key string) string {
	return valueTag.ReplaceAllStringFunc(text, func(tag string) string {
		name, asJSON := strings.CutSuffix(strings.TrimSuffix(strings.TrimPrefix(tag, "{{"), "}}"), "|json")
		var value any
		switch name {
		case "@":
			value = key
		case ".":
			value = scope[len(scope)-1]
		default:
			value = lookup(scope, name)
		}
		if asJSON {
			data, _ := json.Marshal(value)
			return string(data)
		}
		if value == nil {
			return ""
		}
		return fmt.Sprint(value)
	})
}

func lookup(scope []any, name string) any {
	for i := len(scope) - 1; i >= 0; i-- {
		value, found := scope[i], true
		for _, part := range strings.Split(name, ".") {
			switch v := value.(type) {
			case map[string]any:
				value, found = v[part]
			case []any:
				var index int
				if _, err := fmt.Sscan(part, &index); err != nil || index >= len(v) {
					found = false
				} else {
					value = v[index]
				}
			default:
				found = false
			}
			if !found {
				break
			}
		}
		if found {
			return value
		}
	}
	return nil
}

package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// render fills in a template of the deploy file as the platform's page says: values, values as JSON,
// and sections over tables and present values.
func render(text string, fields map[string]any) (string, error) {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(text, "{{")
		out.WriteString(before)
		if !found {
			return out.String(), nil
		}
		name, rest, found := strings.Cut(rest, "}}")
		if !found {
			return "", fmt.Errorf("template: a placeholder has no end")
		}
		section, isSection := strings.CutPrefix(name, "#")
		if !isSection {
			out.WriteString(valueText(name, fields))
			text = rest
			continue
		}
		body, after, found := strings.Cut(rest, "{{/"+section+"}}")
		if !found {
			return "", fmt.Errorf("template: section %s has no end", section)
		}
		rendered, err := renderSection(body, lookUp(section, fields), fields)
		if err != nil {
			return "", err
		}
		out.WriteString(rendered)
		text = after
	}
}

// renderSection renders the body once for each entry of a table, or once if the value is true or
// present.
func renderSection(body string, value any, fields map[string]any) (string, error) {
	if value == nil || value == false {
		return "", nil
	}
	table, isTable := value.(map[string]any)
	if !isTable {
		return render(body, fields)
	}
	keys := make([]string, 0, len(table))
	for key := range table {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	var out strings.Builder
	for _, key := range keys {
		text, err := render(body, map[string]any{"@": key, ".": table[key]})
		if err != nil {
			return "", err
		}
		out.WriteString(text)
	}
	return out.String(), nil
}

func valueText(name string, fields map[string]any) string {
	path, format, _ := strings.Cut(name, "|")
	value := lookUp(path, fields)
	if format == "json" {
		text, err := json.Marshal(value)
		if err != nil {
			return ""
		}
		return string(text)
	}
	if value == nil {
		return ""
	}
	return fmt.Sprint(value)
}

// lookUp returns the value at a path such as limits.memoryMb or seedNodes.0; nil if there is none.
func lookUp(path string, fields map[string]any) any {
	if value, ok := fields[path]; ok {
		return value
	}
	var value any = fields
	for _, step := range strings.Split(path, ".") {
		switch at := value.(type) {
		case map[string]any:
			value = at[step]
		case []int:
			index, err := strconv.Atoi(step)
			if err != nil || index >= len(at) {
				return nil
			}
			value = at[index]
		default:
			return nil
		}
	}
	return value
}

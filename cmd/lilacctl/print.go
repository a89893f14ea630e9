package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"gopkg.in/yaml.v3"

	"github.com/lilacbridge/lilacbridge/connection/operator"
)

const cellPadding = 2

func printReply(w io.Writer, format string, reply *operator.Reply) error {
	switch format {
	case "json":
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(reply)
	case "yaml":
		return printYAML(w, reply)
	case "table":
		return printTable(w, reply)
	}
	return usageError{fmt.Errorf("unknown output format %q; use table, json or yaml", format)}
}

// printYAML converts from JSON, so that both formats use the same names.
func printYAML(w io.Writer, reply *operator.Reply) error {
	data, err := json.Marshal(reply)
	if err != nil {
		return err
	}
	var generic any
	if err := yaml.Unmarshal(data, &generic); err != nil {
		return err
	}
	return yaml.NewEncoder(w).Encode(generic)
}

func printTable(w io.Writer, reply *operator.Reply) error {
	if reply.Change != nil {
		printChange(w, reply.Change)
	}
	if reply.Table != nil {
		tw := tabwriter.NewWriter(w, 0, 0, cellPadding, ' ', 0)
		fmt.Fprintln(tw, strings.ToUpper(strings.Join(reply.Table.Columns, "\t")))
		for _, row := range reply.Table.Rows {
			fmt.Fprintln(tw, strings.Join(row, "\t"))
		}
		if err := tw.Flush(); err != nil {
			return err
		}
	}
	if reply.Omitted > 0 {
		fmt.Fprintf(w, "%d more rows match; narrow the query with WHERE or a smaller LIMIT\n", reply.Omitted)
	}
	for _, missing := range reply.Missing {
		fmt.Fprintf(w, "no answer from %s (%s): %s\n", missing.Instance, missing.DataCenter, missing.Reason)
	}
	return nil
}

func printChange(w io.Writer, change *operator.Change) {
	for _, line := range change.Diff {
		fmt.Fprintln(w, line)
	}
	for _, line := range change.Effect {
		fmt.Fprintln(w, "concerns", line)
	}
	state := "accepted as"
	switch {
	case change.DryRun:
		state = "dry run; would be"
	case change.Repeated:
		state = "already accepted as"
	}
	fmt.Fprintf(w, "%s revision %d (command %s)\n", state, change.Revision, change.CommandID)
}

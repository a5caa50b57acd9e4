package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// limit is how long a case may take.
const limit = 115 * time.Second

// cases holds the cases by name. Each returns what of its rule was broken.
var cases = map[string]func(w *World, trouble bool) ([]string, error){
	"advice": adviceCase, "flicker": flickerCase, "memory": memoryCase, "early": earlyCase, "removed": removedCase, "crashes": crashesCase, "entry": entryCase,
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/chivetiller", "path of the program")
	record := flag.String("record", "record.txt", "file for the record")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	os.Exit(play(*name, *program, *record, *trouble))
}

func play(name, program, record string, trouble bool) int {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", name)
		return notRun
	}
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer func() { _ = file.Close() }()
	w, err := NewWorld(program, file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer w.Close()
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
		select {
		case <-signals:
		case <-time.After(limit):
		}
		w.Record("interrupted, or over the limit of %s", limit)
		w.Close()
		os.Exit(notRun)
	}()
	violations, err := c(w, trouble)
	if err != nil {
		w.Record("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	for _, v := range violations {
		w.Record("BROKEN: %s", v)
		fmt.Println(v)
	}
	if len(violations) > 0 {
		return broken
	}
	w.Record("the rule held")
	return held
}

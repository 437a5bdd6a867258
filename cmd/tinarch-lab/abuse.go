package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/tinarch/tinarch/internal/lab/abuse"
	"github.com/tinarch/tinarch/internal/result"
)

type abuseCommand struct {
	Program       string   `arg:"--program" default:"bin/tinarchd" help:"path of tinarchd"`
	Kinds         []string `arg:"--kind,separate" help:"a kind of client, more than once for several; without it the seed chooses"`
	All           bool     `arg:"--all" help:"play each kind alone, one after the other"`
	Seed          uint64   `arg:"--seed" default:"1"`
	Count         int      `arg:"--count" default:"1" help:"number of runs, with this seed and those that follow"`
	Seconds       float64  `arg:"--seconds" default:"12" help:"how long clients misbehave"`
	Calm          float64  `arg:"--calm" default:"3" help:"how long ordinary callers are alone before, in seconds"`
	Changes       bool     `arg:"--changes" help:"reload, reconfigure and restart meanwhile, and stop the node at the end"`
	Gateways      bool     `arg:"--gateways" help:"the nodes are gateways; kinds of the callers' port only"`
	ManyAddresses bool     `arg:"--many-addresses" help:"clients connect from many addresses"`
	Memory        int      `arg:"--memory" default:"144" help:"memory of the machine in MB"`
	Descriptors   int      `arg:"--descriptors" default:"3075" help:"descriptors of the machine"`
	Rate          float64  `arg:"--rate" default:"40" help:"ordinary requests a second"`
	Timeout       float64  `arg:"--timeout" default:"3" help:"seconds that an ordinary request may take"`
	Share         float64  `arg:"--share" default:"1" help:"part of a core that the node under attack gets"`
	Keep          bool     `arg:"--keep" help:"keep the nodes' settings and logs"`
}

func (c *abuseCommand) run(ctx context.Context) error {
	broken := 0
	for _, options := range c.runs() {
		directory, err := os.MkdirTemp("", "tinarch-abuse-")
		if err != nil {
			return result.Wrap(err, result.Internal, "creating a folder for logs")
		}
		options.Directory = directory
		report, err := abuse.Run(ctx, options)
		if err != nil {
			return err
		}
		fmt.Println(report)
		broken += len(report.Broken)
		if c.Keep {
			fmt.Println("logs:", directory)
			continue
		}
		_ = os.RemoveAll(directory)
	}
	if broken > 0 {
		return result.New(result.Internal, "%d checks failed", broken)
	}
	return nil
}

func seconds(count float64) time.Duration { return time.Duration(count * float64(time.Second)) }

// runs returns the options of all runs.
func (c *abuseCommand) runs() []abuse.Options {
	options := abuse.Options{
		Program: c.Program, Calm: seconds(c.Calm), Length: seconds(c.Seconds), Kinds: c.Kinds, Changes: c.Changes, Gateways: c.Gateways, ManyAddresses: c.ManyAddresses, Share: c.Share,
		MemoryMegabytes: c.Memory, Descriptors: c.Descriptors, Rate: c.Rate, Timeout: seconds(c.Timeout), Seed: c.Seed,
	}
	var all []abuse.Options
	if c.All {
		for _, kind := range abuse.Kinds() {
			if c.Gateways && kind.Port != abuse.Callers {
				continue
			}
			options.Kinds = []string{kind.Name}
			all = append(all, options)
		}
		return all
	}
	for range c.Count {
		all = append(all, options)
		options.Seed++
	}
	return all
}

package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/cli"
	"github.com/tinarch/tinarch/internal/decisionlog"
	"github.com/tinarch/tinarch/internal/result"
	"github.com/tinarch/tinarch/internal/serving"
	"github.com/tinarch/tinarch/internal/settings"
	"github.com/tinarch/tinarch/internal/workerconn"
	"github.com/tinarch/tinarch/platform"
)

const logCloseTimeout = 200 * time.Millisecond

// runRouted runs a routed node, which serves routes in front of a platform's workers.
func runRouted(flags settings.Flags) int {
	if flags.Config == "" {
		return cli.Fail(program, result.New(result.SettingsInvalid, "no settings file is named; use --config FILE or TINARCH_CONFIG"))
	}
	configured, err := settings.LoadRouted(flags.Config)
	if err != nil {
		return cli.Fail(program, err)
	}
	if flags.CheckOnly {
		fmt.Println("the settings are valid")
		return 0
	}
	level, err := logrus.ParseLevel(configured.Log.Level)
	if err != nil {
		return cli.Fail(program, err)
	}
	runtime.GOMAXPROCS(1)
	limitMemory(configured.Limits.MemoryMegabytes)
	log := decisionlog.New(os.Stdout, level)
	defer log.Close(logCloseTimeout)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	adapter := platform.New(platform.Options{Store: configured.Store.Address, API: configured.API.Address, Dial: workerconn.DialStore})
	node, err := serving.Start(configured, adapter, log.Logger)
	if err != nil {
		return cli.Fail(program, err)
	}
	node.Stop(awaitStop(signals, flags.Config, log).String())
	return 0
}

// settingsCheckInterval is the time between two checks whether the settings file was modified,
// since it may change without a signal.
const settingsCheckInterval = 2 * time.Second

// awaitStop waits for a signal that ends the process. Meanwhile it reloads the settings when
// their file is modified or on SIGHUP.
func awaitStop(signals <-chan os.Signal, path string, log *decisionlog.Log) os.Signal {
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	changed := modificationTime(path)
	for {
		select {
		case received := <-signals:
			if received != syscall.SIGHUP {
				return received
			}
			reload(path, log)
		case <-ticker.C:
			if now := modificationTime(path); !now.Equal(changed) {
				changed = now
				reload(path, log)
			}
		}
	}
}

// modificationTime returns when the settings file was last modified, or the zero time if that
// is unknown.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings again and applies the log level, the only setting that can change
// while the process runs. If the settings are invalid, nothing changes.
func reload(path string, log *decisionlog.Log) {
	configured, err := settings.LoadRouted(path)
	if err != nil {
		log.WithField("cause", err.Error()).Error("the settings were not reloaded; the previous ones stay in force")
		return
	}
	level, err := logrus.ParseLevel(configured.Log.Level)
	if err == nil {
		log.SetLevel(level)
	}
	log.WithField("level", configured.Log.Level).Info("settings reloaded")
}

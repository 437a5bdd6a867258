package node

import (
	"os"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/settings"
)

// NewLogger returns a logger as the settings ask for. Levels were checked with
// the settings.
func NewLogger(configured settings.Log) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	if configured.Format == "text" {
		log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true})
	} else {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	if level, err := logrus.ParseLevel(configured.Level); err == nil {
		log.SetLevel(level)
	}
	return log
}

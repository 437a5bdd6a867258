package node

import (
	"os"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/settings"
)

// NewLogger returns a logger with the given level and format. An invalid level is ignored here,
// since the settings have been checked.
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

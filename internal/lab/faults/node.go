package faults

import (
	"github.com/tinarch/tinarch/internal/lab/process"
	"github.com/tinarch/tinarch/internal/settings"
)

// nodeProcess is a node in a process of its own, with the settings that it is started with.
type nodeProcess struct {
	*process.Node
	settings *settings.Settings
}

func newNodeProcess(program, directory string, nodeSettings settings.Settings) *nodeProcess {
	kept := &nodeSettings
	return &nodeProcess{
		settings: kept,
		Node: &process.Node{
			Program: program, Directory: directory, Name: nodeSettings.Node.Name, Settings: kept,
			ReadyURL: "http://" + nodeSettings.Listen.Callers + "/readyz",
		},
	}
}

func (n *nodeProcess) callers() string { return n.settings.Listen.Callers }

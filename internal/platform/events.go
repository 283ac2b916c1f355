package platform

import (
	"fmt"
	"time"

	jsoniter "github.com/json-iterator/go"

	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/routing"
)

// Events holds decoded and validated events of the command channel.
type Events struct {
	cursor int64 // number of the last event, including commands of other types
	lists  []numberedList
}

// numberedList is a list of switches with the number of its event.
type numberedList struct {
	cursor int64
	list   core.SwitchList
}

// eventsJSON is the body of a reply.
type eventsJSON struct {
	Cursor int64         `json:"cursor"`
	Cmds   []commandJSON `json:"cmds"`
}

type commandJSON struct {
	Cursor int64 `json:"cursor"`
	Nodes  *struct {
		Complete bool         `json:"complete"`
		Members  []memberJSON `json:"members"`
	} `json:"nodes"`
}

type memberJSON struct {
	ID      string  `json:"id"`
	Addr    string  `json:"host_port"`
	Cell    int     `json:"cell"`
	Phase   string  `json:"phase"`
	UpSince float64 `json:"up_since_ms"`
}

var statesByPhase = map[string]routing.State{"up": routing.Ready, "draining": routing.Draining, "removed": routing.Removed}

// ParseEvents decodes events in the command channel's format. It returns an error and no
// events if any of them is invalid.
func ParseEvents(b []byte) (*Events, error) {
	var reply eventsJSON
	if err := jsoniter.Unmarshal(b, &reply); err != nil {
		return nil, fmt.Errorf("events: %w", err)
	}
	events := &Events{cursor: reply.Cursor}
	for _, cmd := range reply.Cmds {
		if cmd.Nodes == nil {
			continue // a command of another type
		}
		list := core.SwitchList{Source: "channel", Complete: cmd.Nodes.Complete}
		for _, entry := range cmd.Nodes.Members {
			state, ok := statesByPhase[entry.Phase]
			if !ok || entry.ID == "" {
				return nil, fmt.Errorf("events: switch %q: missing id or unknown phase %q", entry.ID, entry.Phase)
			}
			sw := core.Switch{ID: entry.ID, Addr: entry.Addr, Exchange: entry.Cell, State: state}
			if entry.UpSince > 0 {
				sw.Started = time.UnixMicro(int64(entry.UpSince * 1000))
			}
			list.Switches = append(list.Switches, sw)
		}
		events.lists = append(events.lists, numberedList{cmd.Cursor, list})
	}
	return events, nil
}

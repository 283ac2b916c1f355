// Package inventory reads the inventory of a hosted service, its switches, trunk
// groups, classes, tenants and planned demand, from CSV or YAML as configuration
// tools keep it. It is strict: what it does not know is an error, which names file,
// line and key. docs/callapi.md and docs/plan.md list the keys.
package inventory

import (
	"bytes"
	"cmp"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"net"
	"net/url"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"violetspan.example/violetspan/decide/plan"
	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/strict"
	"violetspan.example/violetspan/internal/tenant"
	"violetspan.example/violetspan/routing"
)

// Inventory is what a file holds.
type Inventory struct {
	Switches []core.Switch
	Tenants  []tenant.Spec
	// Plan is what a plan needs: yards, capacities, groups, classes, shares, demand.
	// Its switches are all of Switches; those without a capacity bear nothing.
	Plan plan.Problem
}

// Errors is every fault of a file, in the order of its lines.
type Errors []error

func (f Errors) Error() string {
	if len(f) == 1 {
		return f[0].Error()
	}
	return fmt.Sprintf("%v (and %d more)", f[0], len(f)-1)
}

// Unwrap returns them.
func (f Errors) Unwrap() []error { return f }

const maxFile = 8 << 20

// Load reads one or more files as one inventory; each name's ending says in which
// form it is. Its error is Faults where the files could be opened.
func Load(paths ...string) (*Inventory, error) {
	r := newReader()
	for _, path := range paths {
		b, err := strict.Read(path, maxFile)
		if err != nil {
			return nil, fmt.Errorf("inventory: %w", err)
		}
		r.parse(path, b)
	}
	return r.done()
}

// Parse reads the text of a file of the given name. Its error is Faults.
func Parse(name string, b []byte) (*Inventory, error) {
	r := newReader()
	r.parse(name, b)
	return r.done()
}

func newReader() *reader {
	return &reader{ids: map[string]place{}, numbers: map[int]string{}, tokens: map[string]string{},
		pairs: map[[2]string]*pairing{}, demands: map[[4]string]place{}}
}

func (r *reader) parse(name string, b []byte) {
	r.file = name
	r.files = append(r.files, name)
	if len(b) > maxFile {
		r.note(1, "file", fmt.Sprintf("longer than %d bytes", maxFile))
		return
	}
	var err error
	switch filepath.Ext(name) {
	case ".csv":
		err = r.csv(b)
	case ".yaml", ".yml":
		err = r.yaml(b)
	default:
		err = fmt.Errorf("%s: a name that ends in .csv, .yaml or .yml is wanted", name)
	}
	if err != nil {
		r.fault(0, err)
		r.broken = true
	}
}

func (r *reader) done() (*Inventory, error) {
	if !r.broken { // else what is missing may stand in the part that was not read
		r.join()
	}
	if len(r.faults) == 0 {
		return &r.inv, nil
	}
	slices.SortStableFunc(r.faults, func(a, b fault) int {
		return cmp.Or(slices.Index(r.files, a.file)-slices.Index(r.files, b.file), a.line-b.line)
	})
	var all Errors
	for _, f := range r.faults {
		all = append(all, f.err)
	}
	return nil, all
}

// place is a line of a file.
type place struct {
	file string
	line int
}

// on says where another entry stands, seen from a file.
func (p place) on(file string) string {
	if p.file == file {
		return fmt.Sprintf("on line %d", p.line)
	}
	return fmt.Sprintf("on line %d of %s", p.line, p.file)
}

type fault struct {
	place
	err error
}

// maxFaults bounds what one file brings.
const maxFaults = 1000

func (r *reader) fault(line int, err error) {
	if len(r.faults) < maxFaults {
		r.faults = append(r.faults, fault{place{r.file, line}, err})
	}
}

// note keeps a fault and goes on with the rest of the file.
func (r *reader) note(line int, key, why string) { r.fault(line, r.bad(line, key, why)) }

// reader builds an inventory from entries, whatever form they come in.
type reader struct {
	file    string
	inv     Inventory
	files   []string
	broken  bool              // a file could not be read to its end
	ids     map[string]place  // of each kind and id
	numbers map[int]string    // switch that is up, by its exchange
	tokens  map[string]string // tenant of each token
	pairs   map[[2]string]*pairing
	demands map[[4]string]place
	refs    []ref
	faults  []fault
}

// ref is a name that must be another entry's, wherever that stands.
type ref struct {
	kind, id, key string
	place
}

func (r *reader) bad(line int, key, why string) error {
	return strict.Bad(r.file, line, key, why)
}

// value is one key's text and where it stands.
type value struct {
	text string
	line int
}

// entry is one switch or tenant.
type entry struct {
	kind, id string
	line     int
	vals     map[string]value
}

// The kinds of entries and the keys that each may have.
const (
	kindSwitch = "switch"
	kindTenant = "tenant"
	kindGroup  = "group"
	kindClass  = "class"
	kindDemand = "demand"
)

var keys = map[string][]string{
	kindSwitch: {"address", "exchange", "status", "yard", "set_ups_per_second"},
	kindTenant: {"status", "token_sha256", "max_calls", "calls_per_second", "max_sockets", "share"},
	kindGroup:  {"a", "b", "at", "toward", "circuits", "cost"},
	kindClass:  {"width", "hold_s", "worth"},
	kindDemand: {"class", "from", "to", "tenant", "calls_per_second", "must_per_second"},
}

var states = map[string]routing.State{"": routing.Ready, "up": routing.Ready, "draining": routing.Draining}

func (r *reader) add(e entry) {
	known, ok := keys[e.kind]
	if !ok {
		r.note(e.line, "kind", fmt.Sprintf("%q is none of switch, tenant, group, class and demand", e.kind))
		return
	}
	for key, v := range e.vals {
		if !slices.Contains(known, key) {
			r.note(v.line, key, "not known for a "+e.kind)
		}
	}
	if e.id == "" {
		r.note(e.line, "name", "missing")
		return
	}
	if was, twice := r.ids[e.kind+" "+e.id]; twice {
		r.note(e.line, "name", fmt.Sprintf("%s %q stands %s already", e.kind, e.id, was.on(r.file)))
		return
	}
	r.ids[e.kind+" "+e.id] = place{r.file, e.line}
	switch e.kind {
	case kindSwitch:
		if err := r.addSwitch(e); err != nil {
			r.fault(e.line, err)
		}
	case kindTenant:
		if err := r.addTenant(e); err != nil {
			r.fault(e.line, err)
		}
	case kindGroup:
		r.addGroup(e)
	case kindClass:
		r.addClass(e)
	default:
		r.addDemand(e)
	}
}

// sortGroups gives them an order that the map they come from lacks.
func (r *reader) sortGroups() {
	slices.SortFunc(r.inv.Plan.Groups, func(a, b plan.Group) int {
		return cmp.Or(strings.Compare(a.A, b.A), strings.Compare(a.B, b.B))
	})
}

// at returns a key's text, and its line or the entry's if it is left out.
func (e entry) at(key string) (string, int) {
	if v, ok := e.vals[key]; ok {
		return v.text, v.line
	}
	return "", e.line
}

func (r *reader) addSwitch(e entry) error {
	m := core.Switch{ID: e.id}
	var line int
	if m.Addr, line = e.at("address"); m.Addr == "" {
		return r.bad(line, "address", "missing")
	}
	if err := checkAddr(m.Addr); err != nil {
		return r.bad(line, "address", err.Error())
	}
	text, line := e.at("exchange")
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return r.bad(line, "exchange", fmt.Sprintf("%q is not a whole number from 0", text))
	}
	m.Exchange = n
	status, sline := e.at("status")
	var ok bool
	if m.State, ok = states[status]; !ok {
		return r.bad(sline, "status", fmt.Sprintf("%q is neither up nor draining", status))
	}
	if other, twice := r.numbers[n]; twice && m.State == routing.Ready {
		return r.bad(line, "exchange", fmt.Sprintf("%d is switch %q already", n, other))
	}
	if m.State == routing.Ready {
		r.numbers[n] = e.id
	}
	yard, _ := e.at("yard")
	sw := plan.Switch{ID: e.id, Yard: yard, SetUps: r.number(e, "set_ups_per_second", 0)}
	if m.State == routing.Draining {
		sw.Phase = plan.Draining
	}
	r.inv.Plan.Switches = append(r.inv.Plan.Switches, sw)
	r.inv.Switches = append(r.inv.Switches, m)
	return nil
}

// IsURL says whether an address is of a switch that speaks the call API.
func IsURL(addr string) bool { return strings.Contains(addr, "://") }

// checkAddr takes ws://host:port/path or wss://... for a switch that speaks the
// call API, and host:port for one that speaks the platform's protocol.
func checkAddr(addr string) error {
	host := addr
	if IsURL(addr) {
		u, err := url.Parse(addr)
		if err != nil || u.Scheme != "ws" && u.Scheme != "wss" || u.User != nil {
			return fmt.Errorf("%q is not a ws:// or wss:// address", addr)
		}
		host = u.Host
	}
	h, port, err := net.SplitHostPort(host)
	if n, perr := strconv.Atoi(port); err != nil || h == "" || perr != nil || n < 1 || n > 65535 {
		return fmt.Errorf("%q has no host and port", addr)
	}
	return nil
}

func (r *reader) addTenant(e entry) error {
	s := tenant.Spec{ID: e.id}
	text, line := e.at("status")
	switch text {
	case "", "active":
	case "disabled":
		s.Disabled = true
	default:
		return r.bad(line, "status", fmt.Sprintf("%q is neither active nor disabled", text))
	}
	s.TokenSHA256, _ = e.at("token_sha256")
	var err error
	for _, n := range []struct {
		key string
		to  *int
	}{{"max_calls", &s.MaxCalls}, {"max_sockets", &s.MaxSockets}} {
		if text, line := e.at(n.key); text != "" {
			if *n.to, err = strconv.Atoi(text); err != nil {
				return r.bad(line, n.key, fmt.Sprintf("%q is not a whole number", text))
			}
		}
	}
	if text, line := e.at("calls_per_second"); text != "" {
		if s.CallsPerSecond, err = strconv.ParseFloat(text, 64); err != nil {
			return r.bad(line, "calls_per_second", fmt.Sprintf("%q is not a number", text))
		}
	}
	if err := s.Check(); err != nil { // it names the key first
		key, why, _ := strings.Cut(err.Error(), ": ")
		if key == "id" {
			key = "name"
		}
		_, line := e.at(key)
		return r.bad(line, key, why)
	}
	if other, twice := r.tokens[s.TokenSHA256]; twice {
		_, line := e.at("token_sha256")
		return r.bad(line, "token_sha256", fmt.Sprintf("tenant %q has it already", other))
	}
	r.tokens[s.TokenSHA256] = e.id
	share := plan.Tenant{ID: e.id, Share: r.number(e, "share", 1)}
	if share.Share > 1 {
		_, line := e.at("share")
		r.note(line, "share", "more than 1")
	}
	r.inv.Plan.Tenants = append(r.inv.Plan.Tenants, share)
	r.inv.Tenants = append(r.inv.Tenants, s)
	return nil
}

// csv reads a table with a header line. The columns kind and name are wanted;
// the others are keys, and an empty cell leaves its key out.
func (r *reader) csv(b []byte) error {
	in := csv.NewReader(bytes.NewReader(bytes.TrimPrefix(b, []byte("\xef\xbb\xbf"))))
	in.Comment = '#'
	in.TrimLeadingSpace = true
	var header []string
	for {
		row, err := in.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		var perr *csv.ParseError
		if errors.As(err, &perr) {
			r.note(perr.Line, "row", perr.Err.Error())
			if errors.Is(perr.Err, csv.ErrFieldCount) {
				continue // the others can be read
			}
			return nil
		} else if err != nil {
			return fmt.Errorf("%s: %w", r.file, err)
		}
		line, _ := in.FieldPos(0)
		if header == nil {
			header = row
			if err := r.header(line, header); err != nil {
				return err
			}
			continue
		}
		e := entry{line: line, vals: map[string]value{}}
		for i, cell := range row {
			l, _ := in.FieldPos(i)
			cell = strings.TrimSpace(cell)
			switch key := header[i]; {
			case key == "kind":
				e.kind = cell
			case key == "name":
				e.id = cell
			case cell != "":
				e.vals[key] = value{cell, l}
			}
		}
		r.add(e)
	}
	if header == nil {
		return r.bad(1, "kind", "the header line is missing")
	}
	return nil
}

func (r *reader) header(line int, header []string) error {
	seen := map[string]bool{}
	for _, key := range header {
		known := key == "kind" || key == "name"
		for _, ks := range keys {
			known = known || slices.Contains(ks, key)
		}
		if !known || seen[key] {
			return r.bad(line, key, "not a known column, or one that stands twice")
		}
		seen[key] = true
	}
	for _, key := range []string{"kind", "name"} {
		if !seen[key] {
			return r.bad(line, key, "the column is missing")
		}
	}
	return nil
}

// The groups of a YAML inventory, and the kind that each holds.
var groups = map[string]string{"switches": kindSwitch, "tenants": kindTenant, "groups": kindGroup, "classes": kindClass, "demands": kindDemand}

// yaml reads the form that Ansible's YAML inventories have: all, children,
// groups, hosts and their variables; a group's vars are defaults for its hosts.
func (r *reader) yaml(b []byte) error {
	root, err := strict.Document(r.file, b, "all")
	if err != nil {
		return err
	}
	all, err := r.only(root, "all", "all")
	if err != nil {
		return err
	}
	children, err := r.only(all, "all", "children")
	if err != nil {
		return err
	}
	return strict.Each(r.file, "children", children, func(group string, line int, g *yaml.Node) error {
		kind, ok := groups[group]
		if !ok {
			r.note(line, group, "none of switches, tenants, groups, classes and demands")
			return nil
		}
		return r.group(kind, group, g)
	})
}

// group reads the hosts of one group.
func (r *reader) group(kind, group string, g *yaml.Node) error {
	defaults := map[string]value{}
	var hosts *yaml.Node
	err := strict.Each(r.file, group, g, func(key string, line int, n *yaml.Node) (err error) {
		switch key {
		case "vars":
			defaults, err = r.vars(n, "vars", nil)
		case "hosts":
			hosts = n
		default:
			err = r.bad(line, key, "neither hosts nor vars")
		}
		return err
	})
	if err != nil {
		return err
	}
	return strict.Each(r.file, "hosts", hosts, func(id string, line int, n *yaml.Node) error {
		vals, err := r.vars(n, id, defaults)
		if err != nil {
			r.fault(line, err)
			return nil
		}
		r.add(entry{kind: kind, id: id, line: line, vals: vals})
		return nil
	})
}

func (r *reader) vars(n *yaml.Node, name string, defaults map[string]value) (map[string]value, error) {
	vals := map[string]value{}
	for key, v := range defaults {
		vals[key] = v
	}
	err := strict.Each(r.file, name, n, func(key string, line int, v *yaml.Node) error {
		if v.Kind != yaml.ScalarNode {
			return r.bad(line, key, "one value is wanted")
		}
		vals[key] = value{v.Value, line}
		return nil
	})
	return vals, err
}

// only returns the one key that a mapping may have.
func (r *reader) only(n *yaml.Node, name, want string) (found *yaml.Node, err error) {
	err = strict.Each(r.file, name, n, func(key string, line int, v *yaml.Node) error {
		if key != want {
			return r.bad(line, key, "not known here; "+want+" is")
		}
		found = v
		return nil
	})
	if err == nil && found == nil {
		err = r.bad(max(1, n.Line), want, "missing")
	}
	return found, err
}

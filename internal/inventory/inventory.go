// Package inventory reads the inventory of a hosted service, its switches, trunk
// groups, classes, tenants and planned demand, from CSV or YAML as configuration
// tools write it. Unknown keys and values are errors, which name file, line and key.
// docs/callapi.md and docs/plan.md list the keys.
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

// Inventory is the content of one or more inventory files.
type Inventory struct {
	Switches []core.Switch
	Tenants  []tenant.Spec
	// Plan is the planning problem: yards, capacities, groups, classes, shares, demand.
	// It contains every switch of Switches; one without a capacity carries no load.
	Plan plan.Problem
}

// Errors are the errors of all files, in the order of files and lines. At most
// 1000 are reported.
type Errors []error

// Error returns the first error and the number of the others.
func (e Errors) Error() string {
	if len(e) == 1 {
		return e[0].Error()
	}
	return fmt.Sprintf("%v (and %d more)", e[0], len(e)-1)
}

// Unwrap returns the individual errors.
func (e Errors) Unwrap() []error { return e }

const maxFileBytes = 8 << 20

// Load reads one or more files as one inventory. The extension of each file name selects
// CSV or YAML. If all files can be read, the error is of type Errors.
func Load(paths ...string) (*Inventory, error) {
	r := newReader()
	for _, path := range paths {
		b, err := strict.ReadFile(path, maxFileBytes)
		if err != nil {
			return nil, fmt.Errorf("inventory: %w", err)
		}
		r.parse(path, b)
	}
	return r.finish()
}

// Parse parses b as the content of a file with the given name. The error is of type
// Errors.
func Parse(name string, b []byte) (*Inventory, error) {
	r := newReader()
	r.parse(name, b)
	return r.finish()
}

func newReader() *reader {
	return &reader{entries: map[string]position{}, switchByExchange: map[int]string{}, tenantByToken: map[string]string{},
		groups: map[[2]string]*groupEntry{}, demands: map[[4]string]position{}}
}

func (r *reader) parse(name string, b []byte) {
	r.file = name
	r.files = append(r.files, name)
	if len(b) > maxFileBytes {
		r.addKeyError(1, "file", fmt.Sprintf("longer than %d bytes", maxFileBytes))
		return
	}
	var err error
	switch filepath.Ext(name) {
	case ".csv":
		err = r.readCSV(b)
	case ".yaml", ".yml":
		err = r.readYAML(b)
	default:
		err = fmt.Errorf("%s: a name that ends in .csv, .yaml or .yml is wanted", name)
	}
	if err != nil {
		r.addError(0, err)
		r.incomplete = true
	}
}

func (r *reader) finish() (*Inventory, error) {
	if !r.incomplete { // otherwise the missing entries may be in the part that was not read
		r.resolve()
	}
	if len(r.errs) == 0 {
		return &r.inv, nil
	}
	slices.SortStableFunc(r.errs, func(a, b lineError) int {
		return cmp.Or(slices.Index(r.files, a.file)-slices.Index(r.files, b.file), a.line-b.line)
	})
	var errs Errors
	for _, e := range r.errs {
		errs = append(errs, e.err)
	}
	return nil, errs
}

// position is a line in a file.
type position struct {
	file string
	line int
}

// relativeTo describes the position for an error in file.
func (p position) relativeTo(file string) string {
	if p.file == file {
		return fmt.Sprintf("on line %d", p.line)
	}
	return fmt.Sprintf("on line %d of %s", p.line, p.file)
}

type lineError struct {
	position
	err error
}

// maxErrors bounds the number of errors that are reported.
const maxErrors = 1000

func (r *reader) addError(line int, err error) {
	if len(r.errs) < maxErrors {
		r.errs = append(r.errs, lineError{position{r.file, line}, err})
	}
}

// addKeyError records an error for a key; reading continues.
func (r *reader) addKeyError(line int, key, reason string) {
	r.addError(line, r.keyError(line, key, reason))
}

// reader builds an inventory from the entries of CSV and YAML files.
type reader struct {
	file             string
	inv              Inventory
	files            []string
	incomplete       bool                      // a file could not be read to its end
	entries          map[string]position       // by kind and ID
	switchByExchange map[int]string            // ID of the switch that is up, by exchange
	tenantByToken    map[string]string         // tenant ID, by token hash
	groups           map[[2]string]*groupEntry // by the IDs of both ends, sorted
	demands          map[[4]string]position    // by class, both ends and tenant
	references       []reference
	errs             []lineError
}

// reference is the name of an entry that must exist in one of the files.
type reference struct {
	kind, id, key string
	position
}

func (r *reader) keyError(line int, key, reason string) error {
	return strict.KeyError(r.file, line, key, reason)
}

// value is the text of a key and its line.
type value struct {
	text string
	line int
}

// entry is one switch, tenant, group, class or demand as read.
type entry struct {
	kind, id string
	line     int
	values   map[string]value
}

// Kinds of entries; keysByKind lists the keys of each.
const (
	kindSwitch = "switch"
	kindTenant = "tenant"
	kindGroup  = "group"
	kindClass  = "class"
	kindDemand = "demand"
)

var keysByKind = map[string][]string{
	kindSwitch: {"address", "exchange", "status", "yard", "set_ups_per_second"},
	kindTenant: {"status", "token_sha256", "max_calls", "calls_per_second", "max_sockets", "share"},
	kindGroup:  {"a", "b", "at", "toward", "circuits", "cost"},
	kindClass:  {"width", "hold_s", "worth"},
	kindDemand: {"class", "from", "to", "tenant", "calls_per_second", "must_per_second"},
}

var stateByStatus = map[string]routing.State{"": routing.Ready, "up": routing.Ready, "draining": routing.Draining}

func (r *reader) addEntry(e entry) {
	known, ok := keysByKind[e.kind]
	if !ok {
		r.addKeyError(e.line, "kind", fmt.Sprintf("%q is none of switch, tenant, group, class and demand", e.kind))
		return
	}
	for key, v := range e.values {
		if !slices.Contains(known, key) {
			r.addKeyError(v.line, key, "not known for a "+e.kind)
		}
	}
	if e.id == "" {
		r.addKeyError(e.line, "name", "missing")
		return
	}
	if first, found := r.entries[e.kind+" "+e.id]; found {
		r.addKeyError(e.line, "name", fmt.Sprintf("%s %q stands %s already", e.kind, e.id, first.relativeTo(r.file)))
		return
	}
	r.entries[e.kind+" "+e.id] = position{r.file, e.line}
	switch e.kind {
	case kindSwitch:
		if err := r.addSwitch(e); err != nil {
			r.addError(e.line, err)
		}
	case kindTenant:
		if err := r.addTenant(e); err != nil {
			r.addError(e.line, err)
		}
	case kindGroup:
		r.addGroup(e)
	case kindClass:
		r.addClass(e)
	default:
		r.addDemand(e)
	}
}

// sortGroups sorts the groups by their ends: they come from a map, in random order.
func (r *reader) sortGroups() {
	slices.SortFunc(r.inv.Plan.Groups, func(a, b plan.Group) int {
		return cmp.Or(strings.Compare(a.A, b.A), strings.Compare(a.B, b.B))
	})
}

// lookup returns the text of a key and its line. For a key that is left out it returns
// "" and the entry's line.
func (e entry) lookup(key string) (string, int) {
	if v, ok := e.values[key]; ok {
		return v.text, v.line
	}
	return "", e.line
}

func (r *reader) addSwitch(e entry) error {
	sw := core.Switch{ID: e.id}
	var line int
	if sw.Addr, line = e.lookup("address"); sw.Addr == "" {
		return r.keyError(line, "address", "missing")
	}
	if err := checkAddress(sw.Addr); err != nil {
		return r.keyError(line, "address", err.Error())
	}
	text, line := e.lookup("exchange")
	exchange, err := strconv.Atoi(text)
	if err != nil || exchange < 0 {
		return r.keyError(line, "exchange", fmt.Sprintf("%q is not a whole number from 0", text))
	}
	sw.Exchange = exchange
	status, statusLine := e.lookup("status")
	var ok bool
	if sw.State, ok = stateByStatus[status]; !ok {
		return r.keyError(statusLine, "status", fmt.Sprintf("%q is neither up nor draining", status))
	}
	if other, found := r.switchByExchange[exchange]; found && sw.State == routing.Ready {
		return r.keyError(line, "exchange", fmt.Sprintf("%d is switch %q already", exchange, other))
	}
	if sw.State == routing.Ready {
		r.switchByExchange[exchange] = e.id
	}
	yard, _ := e.lookup("yard")
	planned := plan.Switch{ID: e.id, Yard: yard, SetUps: r.readNumber(e, "set_ups_per_second", 0)}
	if sw.State == routing.Draining {
		planned.Phase = plan.Draining
	}
	r.inv.Plan.Switches = append(r.inv.Plan.Switches, planned)
	r.inv.Switches = append(r.inv.Switches, sw)
	return nil
}

// IsURL reports whether addr is a URL, the form of address of a switch that speaks the
// call API.
func IsURL(addr string) bool { return strings.Contains(addr, "://") }

// checkAddress accepts ws://host:port/path or wss://... for a switch that speaks the
// call API, and host:port for one that speaks the platform's protocol.
func checkAddress(addr string) error {
	host := addr
	if IsURL(addr) {
		u, err := url.Parse(addr)
		if err != nil || u.Scheme != "ws" && u.Scheme != "wss" || u.User != nil {
			return fmt.Errorf("%q is not a ws:// or wss:// address", addr)
		}
		host = u.Host
	}
	name, port, err := net.SplitHostPort(host)
	if n, portErr := strconv.Atoi(port); err != nil || name == "" || portErr != nil || n < 1 || n > 65535 {
		return fmt.Errorf("%q has no host and port", addr)
	}
	return nil
}

func (r *reader) addTenant(e entry) error {
	spec := tenant.Spec{ID: e.id}
	text, line := e.lookup("status")
	switch text {
	case "", "active":
	case "disabled":
		spec.Disabled = true
	default:
		return r.keyError(line, "status", fmt.Sprintf("%q is neither active nor disabled", text))
	}
	spec.TokenSHA256, _ = e.lookup("token_sha256")
	var err error
	for _, limit := range []struct {
		key string
		to  *int
	}{{"max_calls", &spec.MaxCalls}, {"max_sockets", &spec.MaxSockets}} {
		if text, line := e.lookup(limit.key); text != "" {
			if *limit.to, err = strconv.Atoi(text); err != nil {
				return r.keyError(line, limit.key, fmt.Sprintf("%q is not a whole number", text))
			}
		}
	}
	if text, line := e.lookup("calls_per_second"); text != "" {
		if spec.CallsPerSecond, err = strconv.ParseFloat(text, 64); err != nil {
			return r.keyError(line, "calls_per_second", fmt.Sprintf("%q is not a number", text))
		}
	}
	if err := spec.Check(); err != nil { // the error starts with the key
		key, reason, _ := strings.Cut(err.Error(), ": ")
		if key == "id" {
			key = "name"
		}
		_, line := e.lookup(key)
		return r.keyError(line, key, reason)
	}
	if other, found := r.tenantByToken[spec.TokenSHA256]; found {
		_, line := e.lookup("token_sha256")
		return r.keyError(line, "token_sha256", fmt.Sprintf("tenant %q has it already", other))
	}
	r.tenantByToken[spec.TokenSHA256] = e.id
	share := plan.Tenant{ID: e.id, Share: r.readNumber(e, "share", 1)}
	if share.Share > 1 {
		_, line := e.lookup("share")
		r.addKeyError(line, "share", "more than 1")
	}
	r.inv.Plan.Tenants = append(r.inv.Plan.Tenants, share)
	r.inv.Tenants = append(r.inv.Tenants, spec)
	return nil
}

// readCSV reads a table with a header line. The columns kind and name are required;
// the others are keys. An empty cell leaves its key out.
func (r *reader) readCSV(b []byte) error {
	table := csv.NewReader(bytes.NewReader(bytes.TrimPrefix(b, []byte("\xef\xbb\xbf"))))
	table.Comment = '#'
	table.TrimLeadingSpace = true
	var header []string
	for {
		row, err := table.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		var parseErr *csv.ParseError
		if errors.As(err, &parseErr) {
			r.addKeyError(parseErr.Line, "row", parseErr.Err.Error())
			if errors.Is(parseErr.Err, csv.ErrFieldCount) {
				continue // the other rows can be read
			}
			return nil
		} else if err != nil {
			return fmt.Errorf("%s: %w", r.file, err)
		}
		line, _ := table.FieldPos(0)
		if header == nil {
			header = row
			if err := r.checkHeader(line, header); err != nil {
				return err
			}
			continue
		}
		e := entry{line: line, values: map[string]value{}}
		for i, cell := range row {
			cellLine, _ := table.FieldPos(i)
			cell = strings.TrimSpace(cell)
			switch key := header[i]; {
			case key == "kind":
				e.kind = cell
			case key == "name":
				e.id = cell
			case cell != "":
				e.values[key] = value{cell, cellLine}
			}
		}
		r.addEntry(e)
	}
	if header == nil {
		return r.keyError(1, "kind", "the header line is missing")
	}
	return nil
}

func (r *reader) checkHeader(line int, header []string) error {
	seen := map[string]bool{}
	for _, key := range header {
		known := key == "kind" || key == "name"
		for _, kindKeys := range keysByKind {
			known = known || slices.Contains(kindKeys, key)
		}
		if !known || seen[key] {
			return r.keyError(line, key, "not a known column, or one that stands twice")
		}
		seen[key] = true
	}
	for _, key := range []string{"kind", "name"} {
		if !seen[key] {
			return r.keyError(line, key, "the column is missing")
		}
	}
	return nil
}

// kindByGroup maps the Ansible groups of a YAML inventory to the kind of their entries.
var kindByGroup = map[string]string{"switches": kindSwitch, "tenants": kindTenant, "groups": kindGroup, "classes": kindClass, "demands": kindDemand}

// readYAML reads the format of Ansible's YAML inventories: all, children, groups, hosts
// and their variables. A group's vars are defaults for its hosts.
func (r *reader) readYAML(b []byte) error {
	root, err := strict.Document(r.file, b, "all")
	if err != nil {
		return err
	}
	all, err := r.onlyKey(root, "all", "all")
	if err != nil {
		return err
	}
	children, err := r.onlyKey(all, "all", "children")
	if err != nil {
		return err
	}
	return strict.ForEachEntry(r.file, "children", children, func(group string, line int, g *yaml.Node) error {
		kind, ok := kindByGroup[group]
		if !ok {
			r.addKeyError(line, group, "none of switches, tenants, groups, classes and demands")
			return nil
		}
		return r.readGroup(kind, group, g)
	})
}

// readGroup reads the hosts of one Ansible group as entries of a kind.
func (r *reader) readGroup(kind, group string, g *yaml.Node) error {
	defaults := map[string]value{}
	var hosts *yaml.Node
	err := strict.ForEachEntry(r.file, group, g, func(key string, line int, n *yaml.Node) (err error) {
		switch key {
		case "vars":
			defaults, err = r.readVars(n, "vars", nil)
		case "hosts":
			hosts = n
		default:
			err = r.keyError(line, key, "neither hosts nor vars")
		}
		return err
	})
	if err != nil {
		return err
	}
	return strict.ForEachEntry(r.file, "hosts", hosts, func(id string, line int, n *yaml.Node) error {
		values, err := r.readVars(n, id, defaults)
		if err != nil {
			r.addError(line, err)
			return nil
		}
		r.addEntry(entry{kind: kind, id: id, line: line, values: values})
		return nil
	})
}

func (r *reader) readVars(n *yaml.Node, name string, defaults map[string]value) (map[string]value, error) {
	values := map[string]value{}
	for key, v := range defaults {
		values[key] = v
	}
	err := strict.ForEachEntry(r.file, name, n, func(key string, line int, v *yaml.Node) error {
		if v.Kind != yaml.ScalarNode {
			return r.keyError(line, key, "one value is wanted")
		}
		values[key] = value{v.Value, line}
		return nil
	})
	return values, err
}

// onlyKey returns the value of the only key that a mapping may have.
func (r *reader) onlyKey(n *yaml.Node, name, want string) (found *yaml.Node, err error) {
	err = strict.ForEachEntry(r.file, name, n, func(key string, line int, v *yaml.Node) error {
		if key != want {
			return r.keyError(line, key, "not known here; "+want+" is")
		}
		found = v
		return nil
	})
	if err == nil && found == nil {
		err = r.keyError(max(1, n.Line), want, "missing")
	}
	return found, err
}

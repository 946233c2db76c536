package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"tealledge/policy"
)

// Names are what the settings call things; the module knows their numbers, which are the places in these lists.
type Names struct {
	Classes, Zones, Kinds, Tenants, Fields []string
}

// Limits on nested settings: a damaged file must end in a message.
const (
	maxDepth = 8
	maxPairs = 20_000
)

// FromJSON reads settings given as nested JSON, under the simulator's names and units. Values that can't be used are
// named in bad and count as absent; err tells that it is no settings at all.
func FromJSON(raw []byte) (s policy.Settings, names Names, bad []string, err error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	var tree map[string]any
	if err := dec.Decode(&tree); err != nil {
		return s, names, nil, fmt.Errorf("settings: %w", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return s, names, nil, fmt.Errorf("settings: more follows after the object")
	}
	if tree == nil {
		return s, names, nil, fmt.Errorf("settings: no object")
	}
	p := &pairs{m: map[string]string{}}
	p.flatten("", tree, 0)
	names = Names{Classes: p.named("request-classes"), Tenants: p.named("realms"), Zones: texts(tree["zones"]), Kinds: texts(tree["shapes"])}
	if t, ok := tree["telemetry"].(map[string]any); ok {
		names.Fields = texts(t["fields"])
	}
	s = p.read()
	if err := servable(s, names); err != nil {
		return s, names, p.bad, fmt.Errorf("settings: %w", err)
	}
	return s, names, p.bad, nil
}

// servable tells what of the settings leaves nothing that could be served, by its key. Danger: a front that is ready, and refuses
// all that it is asked.
func servable(s policy.Settings, names Names) error {
	switch {
	case len(s.Classes) == 0:
		return errors.New("request-classes: none")
	case len(s.RungKB) == 0:
		return errors.New("family-info.level-kb: none")
	case len(s.RungWorth) < len(s.RungKB):
		return fmt.Errorf("family-info.level-worth: %d values for %d of level-kb", len(s.RungWorth), len(s.RungKB))
	case s.Cells < 1:
		return errors.New("family-info.positions: none")
	case s.WeightKB <= 0:
		return errors.New("family-info.weight-kb: none, a server could carry nothing")
	}
	seen := map[string]bool{}
	for i, c := range s.Classes {
		name := names.Classes[i]
		switch {
		case name == "":
			return fmt.Errorf("request-classes.%d.name: none", i)
		case seen[name]:
			return fmt.Errorf("request-classes.%d.name: %.64q names another class too", i, name)
		case c.Floor >= len(s.RungKB):
			return fmt.Errorf("family-info.lowest-rung: %d for class %.64q, of %d rungs", c.Floor, name, len(s.RungKB))
		}
		seen[name] = true
	}
	return nil
}

func (p *pairs) named(list string) (out []string) {
	for i := range p.count(list + ".count") {
		out = append(out, p.m[list+"."+strconv.Itoa(i)+".name"])
	}
	return out
}

func texts(v any) (out []string) {
	list, _ := v.([]any)
	for _, x := range list {
		s, _ := x.(string)
		out = append(out, s)
	}
	return out
}

// flatten books a tree's leaves under their paths: a list of plain values joined by commas, a list of objects as its
// count and its items.
func (p *pairs) flatten(path string, v any, depth int) {
	if depth > maxDepth || len(p.m) >= maxPairs {
		p.bad = append(p.bad, path+" is nested too deeply, or too much")
		return
	}
	under := func(k string) string {
		if path == "" {
			return k
		}
		return path + "." + k
	}
	switch x := v.(type) {
	case map[string]any:
		for k, item := range x {
			p.flatten(under(k), item, depth+1)
		}
	case []any:
		objects := 0
		var plain []string
		for i, item := range x {
			if _, ok := item.(map[string]any); ok {
				objects++
				p.flatten(under(strconv.Itoa(i)), item, depth+1)
				continue
			}
			plain = append(plain, leaf(item))
		}
		switch {
		case objects == 0 && len(plain) > 0:
			p.m[path] = strings.Join(plain, ",")
		case len(plain) > 0:
			p.bad = append(p.bad, path+" mixes objects and plain values")
		default:
			p.m[under("count")] = strconv.Itoa(objects)
		}
	case nil:
	default:
		p.m[path] = leaf(x)
	}
}

func leaf(v any) string {
	switch x := v.(type) {
	case string:
		return x
	case json.Number:
		return x.String()
	case bool:
		return strconv.FormatBool(x)
	}
	return "?"
}

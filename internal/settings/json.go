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

// Names are the names in the settings. The decision module uses their indexes in these lists.
type Names struct {
	Classes, Zones, Kinds, Tenants, Fields []string
}

// Limits on nested settings, so that a damaged file ends in an error message.
const (
	maxDepth = 8
	maxPairs = 20_000
)

// FromJSON reads settings from nested JSON, with the names and units of the simulator. Unusable values are listed in
// unusable and count as absent; err is set if the input as a whole is not valid settings.
func FromJSON(raw []byte) (s policy.Settings, names Names, unusable []string, err error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	var tree map[string]any
	if err := dec.Decode(&tree); err != nil {
		return s, names, nil, fmt.Errorf("settings: %w", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return s, names, nil, fmt.Errorf("settings: unexpected data after the object")
	}
	if tree == nil {
		return s, names, nil, fmt.Errorf("settings: not a JSON object")
	}
	p := &settingsMap{values: map[string]string{}}
	p.flatten("", tree, 0)
	names = Names{Classes: p.itemNames("request-classes"), Tenants: p.itemNames("realms"),
		Zones: stringItems(tree["zones"]), Kinds: stringItems(tree["shapes"])}
	if t, ok := tree["telemetry"].(map[string]any); ok {
		names.Fields = stringItems(t["fields"])
	}
	s = p.read()
	if err := validate(s, names); err != nil {
		return s, names, p.unusable, fmt.Errorf("settings: %w", err)
	}
	return s, names, p.unusable, nil
}

// validate returns an error with the key of a setting that leaves nothing to serve. Otherwise a front would be ready
// and refuse all requests.
func validate(s policy.Settings, names Names) error {
	switch {
	case len(s.Classes) == 0:
		return errors.New("request-classes: must not be empty")
	case len(s.RungKB) == 0:
		return errors.New("family-info.level-kb: must not be empty")
	case len(s.RungWorth) < len(s.RungKB):
		return fmt.Errorf("family-info.level-worth: %d values for %d of level-kb", len(s.RungWorth), len(s.RungKB))
	case s.Cells < 1:
		return errors.New("family-info.positions: must be at least 1")
	case s.WeightKB <= 0:
		return errors.New("family-info.weight-kb: must be over 0, or servers have no capacity")
	}
	seen := map[string]bool{}
	for i, c := range s.Classes {
		name := names.Classes[i]
		switch {
		case name == "":
			return fmt.Errorf("request-classes.%d.name: must not be empty", i)
		case seen[name]:
			return fmt.Errorf("request-classes.%d.name: %.64q is not unique", i, name)
		case c.Floor >= len(s.RungKB):
			return fmt.Errorf("family-info.lowest-rung: %d for class %.64q, with only %d rungs",
				c.Floor, name, len(s.RungKB))
		}
		seen[name] = true
	}
	return nil
}

// itemNames gives the names of the items of a list.
func (p *settingsMap) itemNames(list string) (out []string) {
	for i := range p.count(list + ".count") {
		out = append(out, p.values[list+"."+strconv.Itoa(i)+".name"])
	}
	return out
}

// stringItems gives the items of a JSON list as strings; items of other types are empty.
func stringItems(v any) (out []string) {
	list, _ := v.([]any)
	for _, x := range list {
		s, _ := x.(string)
		out = append(out, s)
	}
	return out
}

// flatten stores the leaves of a tree by path: a list of scalars joined by commas, a list of objects as its count and
// its items.
func (p *settingsMap) flatten(path string, v any, depth int) {
	if depth > maxDepth || len(p.values) >= maxPairs {
		p.unusable = append(p.unusable, path+" is nested too deeply or has too many values")
		return
	}
	childPath := func(k string) string {
		if path == "" {
			return k
		}
		return path + "." + k
	}
	switch x := v.(type) {
	case map[string]any:
		for k, item := range x {
			p.flatten(childPath(k), item, depth+1)
		}
	case []any:
		objects := 0
		var scalars []string
		for i, item := range x {
			if _, ok := item.(map[string]any); ok {
				objects++
				p.flatten(childPath(strconv.Itoa(i)), item, depth+1)
				continue
			}
			scalars = append(scalars, scalarText(item))
		}
		switch {
		case objects == 0 && len(scalars) > 0:
			p.values[path] = strings.Join(scalars, ",")
		case len(scalars) > 0:
			p.unusable = append(p.unusable, path+" mixes objects and scalar values")
		default:
			p.values[childPath("count")] = strconv.Itoa(objects)
		}
	case nil:
	default:
		p.values[path] = scalarText(x)
	}
}

// scalarText formats a scalar JSON value as text.
func scalarText(v any) string {
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

package compare

import (
	"fmt"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
)

// Site is an installation that the bench knows by its site file.
type Site struct {
	Name string
	Path string   // absolute
	Days []string // names of the standard days, in the file's order
}

// ReadSite reads the name and the standard days of a site file. A file without a
// name gets its base name.
func ReadSite(path string) (Site, error) {
	path, err := filepath.Abs(path)
	if err != nil {
		return Site{}, err
	}
	var file struct {
		Name string `toml:"name"`
		Days []struct {
			Name string `toml:"name"`
		} `toml:"day"`
	}
	if _, err := toml.DecodeFile(path, &file); err != nil {
		return Site{}, fmt.Errorf("site file %s: %w", path, err)
	}
	s := Site{Name: file.Name, Path: path}
	if s.Name == "" {
		s.Name = baseName(path)
	}
	for i, d := range file.Days {
		if d.Name == "" {
			return Site{}, fmt.Errorf("site file %s: day %d of %d has no name", path, i+1, len(file.Days))
		}
		s.Days = append(s.Days, d.Name)
	}
	return s, nil
}

// DayFiles returns the absolute paths of the day files in a directory, sorted.
func DayFiles(dir string) ([]string, error) {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return nil, err
	}
	files, err := filepath.Glob(filepath.Join(dir, "*.toml"))
	if err != nil {
		return nil, fmt.Errorf("day files in %s: %w", dir, err)
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("no day files *.toml in %s", dir)
	}
	slices.Sort(files)
	return files, nil
}

// Day is one day on one site.
type Day struct {
	Site Site
	Name string
	Arg  string // argument of the bench: the name of a standard day or the path of a file
	File bool   // whether it comes from a day file
}

// Days returns the standard days of all sites and the day files on each of them,
// as far as their names match the filter. A nil filter matches all.
func Days(sites []Site, files []string, filter *regexp.Regexp) []Day {
	var days []Day
	for _, s := range sites {
		for _, name := range s.Days {
			days = append(days, Day{Site: s, Name: name, Arg: name})
		}
		for _, f := range files {
			days = append(days, Day{Site: s, Name: baseName(f), Arg: f, File: true})
		}
	}
	return slices.DeleteFunc(days, func(d Day) bool { return filter != nil && !filter.MatchString(d.Name) })
}

func baseName(path string) string { return strings.TrimSuffix(filepath.Base(path), ".toml") }

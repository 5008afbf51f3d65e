package camerge

import (
	"io/fs"
	"path"
	"slices"
	"strings"

	"celeryarch.example/celeryarch/internal/config/caproblem"
)

// Folder merges the files of a folder in the order of their names. It reads
// files that end in .json or .jsonc and skips subfolders and hidden files. The
// problems of all files are returned together.
func Folder(folder fs.FS) (Node, caproblem.List) {
	names, problems := fileNames(folder)
	merged := Node{Kind: KindObject}
	for _, name := range names {
		node, fileProblems := parseFile(folder, name)
		if len(fileProblems) > 0 {
			problems = append(problems, fileProblems...)
			continue
		}
		merged = Merge(merged, node)
	}
	return merged, problems
}

func fileNames(folder fs.FS) ([]string, caproblem.List) {
	entries, err := fs.ReadDir(folder, ".")
	if err != nil {
		return nil, problemf(caproblem.Position{}, "the folder cannot be read: %s", err)
	}
	var names []string
	for _, e := range entries {
		if !e.IsDir() && isDocument(e.Name()) {
			names = append(names, e.Name())
		}
	}
	if len(names) == 0 {
		return nil, problemf(caproblem.Position{}, "the folder has no file that ends in .json or .jsonc")
	}
	slices.Sort(names)
	return names, nil
}

func isDocument(name string) bool {
	ext := path.Ext(name)
	return !strings.HasPrefix(name, ".") && (ext == ".json" || ext == ".jsonc")
}

func parseFile(folder fs.FS, name string) (Node, caproblem.List) {
	data, err := fs.ReadFile(folder, name)
	if err != nil {
		return Node{}, problemf(caproblem.Position{File: name}, "cannot be read: %s", err)
	}
	return Parse(name, data)
}

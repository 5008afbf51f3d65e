package camerge

// Merge lays one document over another. Objects are merged member by member;
// any other value replaces what was there; null removes it.
//
// Example: {"a": {"x": 1, "y": 2}} under {"a": {"x": null, "z": 3}} gives
// {"a": {"y": 2, "z": 3}}.
func Merge(under, over Node) Node {
	if over.Kind != KindObject {
		return over
	}
	merged := Node{Kind: KindObject, At: over.At}
	if under.Kind == KindObject {
		merged.Members = append(merged.Members, under.Members...)
	}
	for _, m := range over.Members {
		merged.Members = mergeMember(merged.Members, m)
	}
	return merged
}

func mergeMember(members []Member, over Member) []Member {
	at := -1
	var under Node
	for i, m := range members {
		if m.Name == over.Name {
			at, under = i, m.Value
		}
	}
	if over.Value.Kind == KindNull {
		return without(members, at)
	}
	over.Value = Merge(under, over.Value)
	if at < 0 {
		return append(members, over)
	}
	members[at] = over
	return members
}

func without(members []Member, at int) []Member {
	if at < 0 {
		return members
	}
	return append(members[:at], members[at+1:]...)
}

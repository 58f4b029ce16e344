package route

// Room returns how many more requests of a version the targets admit as far
// as is known: the layer with the least room decides. It returns false when a
// layer has no target at all.
func Room(v View, version string, layers int, own func(target string) int) (int, bool) {
	// Both hold differences between a layer and the one before.
	room, holders := make([]int, layers+1), make([]int, layers+1)
	for _, t := range v.targets {
		l := t.Load.Layers
		if !t.Admits() || t.Load.Version != version || l.From < 0 || l.To <= l.From || l.To > layers {
			continue
		}
		free := max(0, t.Load.Limit-t.Busy(own(t.Name)))
		room[l.From] += free
		room[l.To] -= free
		holders[l.From]++
		holders[l.To]--
	}
	least, sum, held := -1, 0, 0
	for i := range layers {
		sum += room[i]
		held += holders[i]
		if held == 0 {
			return 0, false
		}
		if least < 0 || sum < least {
			least = sum
		}
	}
	return least, least >= 0
}

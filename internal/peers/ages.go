package peers

import "time"

// noReportAge is the age of loads that were never reported.
const noReportAge = time.Hour

// LoadAge returns the age of the newest loads that the gateways of a data centre have
// reported. A follower has all loads from its leader. It is 0 if no other gateway stands
// there, since the loads of targets there then come from elsewhere.
func (p *Peers) LoadAge(dataCentre string) time.Duration {
	ages, topology := p.Ledger.ReportAges(), p.Topology()
	if age, ok := ages[topology.Leader]; ok && !topology.Leads && !topology.Mesh {
		return age
	}
	members, _ := p.Members.List()
	newest := time.Duration(0)
	for _, m := range members {
		if m.DataCentre != dataCentre {
			continue
		}
		age, ok := ages[m.Instance]
		if !ok {
			age = noReportAge
		}
		if newest == 0 || age < newest {
			newest = max(age, 1)
		}
	}
	return newest
}

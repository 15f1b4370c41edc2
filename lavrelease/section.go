package lavrelease

//go:generate stringer -type=Section -trimprefix=Section -output=section_string.go
//go:generate stringer -type=Action -trimprefix=Action -output=action_string.go

// Section identifies one of the item lists of a note.
type Section int

// The sections, in dependency order: an item refers only to items of earlier
// sections.
const (
	SectionModels Section = iota
	SectionAdapters
	SectionFailureDomains
	SectionHosts
	SectionServices
	SectionEndpoints
	SectionCustomers
	SectionObjectives
	sectionEnd
)

// Action is the kind of change that a note makes to an item.
type Action int

// The actions that a note can take on an item.
const (
	ActionAdd Action = iota
	ActionChange
	ActionWithdraw
)

// itemNames returns the names of the items of a section, in list order.
func (i *Items) itemNames(s Section) []string {
	switch s {
	case SectionModels:
		return namesOf(i.Models, modelName)
	case SectionAdapters:
		return namesOf(i.Adapters, adapterName)
	case SectionFailureDomains:
		return namesOf(i.FailureDomains, domainName)
	case SectionHosts:
		return namesOf(i.Hosts, hostName)
	case SectionServices:
		return namesOf(i.Services, serviceName)
	case SectionEndpoints:
		return namesOf(i.Endpoints, endpointName)
	case SectionCustomers:
		return namesOf(i.Customers, customerName)
	default:
		return namesOf(i.Objectives, objectiveName)
	}
}

// sectionNames returns the names that are listed for a section.
func (n *Names) sectionNames(s Section) []string {
	switch s {
	case SectionModels:
		return n.Models
	case SectionAdapters:
		return n.Adapters
	case SectionFailureDomains:
		return n.FailureDomains
	case SectionHosts:
		return n.Hosts
	case SectionServices:
		return n.Services
	case SectionEndpoints:
		return n.Endpoints
	case SectionCustomers:
		return n.Customers
	default:
		return n.Objectives
	}
}

func namesOf[T any](items []T, name func(T) string) []string {
	names := make([]string, 0, len(items))
	for _, v := range items {
		names = append(names, name(v))
	}
	return names
}

func modelName(v Model) string          { return v.Name }
func adapterName(v Adapter) string      { return v.Name }
func domainName(v FailureDomain) string { return v.Name }
func hostName(v Host) string            { return v.Name }
func serviceName(v Service) string      { return v.Name }
func endpointName(v Endpoint) string    { return v.Name }
func customerName(v Customer) string    { return v.Name }
func objectiveName(v Objective) string  { return v.Name }

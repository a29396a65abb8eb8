package mutation

// Packages whose tests find planted faults.
const (
	consensusPackage = "internal/control/consensus"
	statePackage     = "internal/control/controlstate"
	clientPackage    = "internal/control/controlclient"
	proxyPackage     = "internal/data/proxy"
)

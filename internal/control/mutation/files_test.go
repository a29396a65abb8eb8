package mutation

// Packages whose tests must fail because of injected faults, as paths from the repository's root.
const (
	consensusPackage = "internal/control/consensus"
	statePackage     = "internal/control/controlstate"
	clientPackage    = "internal/control/controlclient"
	proxyPackage     = "internal/data/proxy"
)

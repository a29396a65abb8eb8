package controlstate

import "pebbleloom/internal/wire"

// putRequest asks for a change of a document.
func putRequest(put *wire.Put) *wire.ChangeRequest {
	return &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Put{Put: put}}}
}

// grantRequest asks for a lease.
func grantRequest(grant *wire.Grant) *wire.ChangeRequest {
	return &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Grant{Grant: grant}}}
}

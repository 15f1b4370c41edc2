// Package lavnode assembles an entry host from its components and supervises
// them.
//
// The components run as services of one supervisor tree: the followers of the
// store (releases and membership), the mesh, the table of endpoints, the
// dispatcher, and the HTTP servers for peers and operators. The supervisor
// restarts a service that fails without restarting the others, and the service
// rebuilds its state from the store and the peers. The HTTP server for callers
// runs outside the tree, so that it can finish its requests while the host
// drains.
package lavnode

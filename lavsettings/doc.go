// Package lavsettings reads the settings of an entry host.
//
// Settings are JSON with comments. They must contain the name, failure domain and
// addresses of the host, and the URLs of the key-value service and the host list. All
// other settings are optional. Unknown names, wrong types and invalid values are
// reported with file, line and column.
package lavsettings

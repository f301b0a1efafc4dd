/** The entry daemon: accepts the HTTP requests of callers and routes them to agents. */
package org.cornelchute.entry;

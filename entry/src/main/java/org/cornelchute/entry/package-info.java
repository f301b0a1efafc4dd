/** The entry daemon: HTTP towards callers, routing towards agents. */
package org.cornelchute.entry;

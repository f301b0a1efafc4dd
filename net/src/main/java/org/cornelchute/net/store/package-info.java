/** Interface to a table store, and local copies of its tables kept up to date by long polling. */
package org.cornelchute.net.store;

/** Domain model, internal messages, service kernel, duties, command line, settings and logging. */
package org.cornelchute.core;

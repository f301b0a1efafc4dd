/** Domain records, internal messages, the kernel, duties and rings, settings and decision logs. */
package org.cornelchute.core;

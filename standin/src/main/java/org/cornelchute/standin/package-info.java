/** Stand-ins for external systems, load generator, benchmarks and quickstart; not shipped. */
package org.cornelchute.standin;

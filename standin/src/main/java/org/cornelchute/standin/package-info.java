/** Stand-ins for outside systems, the load tool, measurements and the quickstart; not shipped. */
package org.cornelchute.standin;

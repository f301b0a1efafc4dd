/** The operator command line. */
package org.cornelchute.ctl;

/** Command line for operators. */
package org.cornelchute.ctl;

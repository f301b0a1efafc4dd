/** What the product asks of the platform's table service, and how it keeps in step with it. */
package org.cornelchute.net.store;

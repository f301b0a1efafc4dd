/**
 * What an entry knows of the work at endpoints beside the number of open calls: the load and speed
 * that they report, and the leading parts of prompts that their caches probably hold.
 */
package org.cornelchute.policy.load;

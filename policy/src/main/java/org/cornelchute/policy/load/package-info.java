/**
 * What an entry knows of the work at endpoints beside the number of open calls: the load and speed
 * that they report, the leading parts of prompts that their caches probably hold, and the room that
 * is reserved for urgent calls.
 */
package org.cornelchute.policy.load;

package org.cornelchute.core.duty;

/** How a bounded ring handles a message when it is full. */
public enum Overflow {
  /** The message is refused; the sender reports this to the caller that the work came from. */
  REFUSE,
  /** The message is dropped and counted; the protocol retransmits it. */
  DROP,
  /** The sender's thread blocks until there is space; only for threads that no duty waits for. */
  WAIT
}

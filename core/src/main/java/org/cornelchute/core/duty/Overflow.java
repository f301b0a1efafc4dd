package org.cornelchute.core.duty;

/** What a bounded ring does with a message that finds it full. */
public enum Overflow {
  /** The message is refused and the sender told, who then says so to its own caller. */
  REFUSE,
  /** The message is dropped and counted; the protocol above repeats it. */
  DROP,
  /** The sender's thread waits; only for senders that no duty depends on. */
  WAIT
}

package org.cornelchute.policy.admission;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.cornelchute.core.message.ServingMessage;
import org.cornelchute.core.message.ServingMessage.Dispatch;

/** State of one attempt at a request; only the {@link AdmissionDecider} modifies it. */
final class Attempt {

  /** Stages of an attempt; an attempt never returns to an earlier stage. */
  enum Stage {
    /** Waiting in the agent's queue. */
    QUEUED,
    /** Forwarded to the endpoint, and its answer has not ended. */
    DISPATCHED,
    /** The answer has ended, complete or truncated. */
    ENDED,
    /** Never forwarded, and will not be. */
    SEALED
  }

  final AttemptKey key;
  final Dispatch dispatch;
  final long deadline;
  final Set<Long> listeners = new LinkedHashSet<>();
  final List<ServingMessage> recordedMessages = new ArrayList<>();
  Stage stage;
  boolean recording;
  long recordedBytes;
  int partCount;
  long answerBytes;
  long lastPartAt;
  long endedAt;

  Attempt(AttemptKey key, Dispatch dispatch, long deadline, Stage stage) {
    this.key = key;
    this.dispatch = dispatch;
    this.deadline = deadline;
    this.stage = stage;
    this.recording = dispatch != null && !dispatch.repeatable();
  }

  /** Returns whether the outcome must be retained after the attempt has ended. */
  boolean mustRetainOutcome() {
    return stage == Stage.SEALED || !dispatch.repeatable();
  }

  /**
   * Records a message of the answer for replay. Once the recorded answer exceeds {@code maxBytes},
   * the record is discarded and recording stops.
   */
  void recordForReplay(ServingMessage message, long messageBytes, long maxBytes) {
    if (!recording) {
      return;
    }
    recordedBytes += messageBytes;
    if (recordedBytes > maxBytes) {
      recording = false;
      recordedMessages.clear();
      return;
    }
    recordedMessages.add(message);
  }
}

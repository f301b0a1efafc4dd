package org.cornelchute.policy.admission;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.cornelchute.core.message.ServingMessage;
import org.cornelchute.core.message.ServingMessage.Dispatch;

/** What an agent remembers of one attempt; owned by the {@link AdmissionDecider}. */
final class Attempt {

  /** Stages of an attempt; it only moves forward. */
  enum Stage {
    QUEUED,
    DISPATCHED,
    ENDED,
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

  /** Returns whether the fate has to be remembered after the end. */
  boolean mustRetainOutcome() {
    return stage == Stage.SEALED || !dispatch.repeatable();
  }

  /** Keeps a message of the answer for replay, as long as the answer is small enough. */
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

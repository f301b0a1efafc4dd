package org.cornelchute.entry.direct;

import io.netty.handler.codec.http.FullHttpRequest;

/** A call in progress: its request and its attempts. */
final class OpenCall {

  final long number;
  final CallerConnection callerConnection;
  final FullHttpRequest request;
  final long arrivedAt;

  /** Id of the last event that the caller received before this call, negative if none. */
  final long callerLastEventId;

  private final ResponseBudget responseBudget;

  /** Attempt whose response the caller receives, null before the first one. */
  OpenAttempt current;

  /** Attempt that goes on beside the current one, null if there is none. */
  OpenAttempt backup;

  /** Whether the decider was asked about the call. */
  boolean submitted;

  /** Whether any endpoint may have received the call. */
  boolean mayBeSent;

  /** Whether the head of the response was sent to the caller, by any attempt. */
  boolean responseStarted;

  OpenCall(
      long number,
      CallerConnection callerConnection,
      FullHttpRequest request,
      long callerLastEventId,
      ResponseBudget responseBudget,
      long now) {
    this.number = number;
    this.callerConnection = callerConnection;
    this.request = request;
    this.callerLastEventId = callerLastEventId;
    this.responseBudget = responseBudget;
    this.arrivedAt = now;
  }

  /** Returns the id of the last event that the caller has, negative if it has none. */
  long lastEventId() {
    return current == null ? callerLastEventId : current.eventDecoder.lastEventId();
  }

  /** Starts an attempt in place of the current one, of which everything received is discarded. */
  OpenAttempt startAttempt(int attempt) {
    OpenAttempt next = new OpenAttempt(attempt, lastEventId(), responseStarted, responseBudget);
    releaseCurrent();
    current = next;
    return next;
  }

  /** Starts an attempt beside the current one. */
  OpenAttempt startBackup(int attempt) {
    backup = new OpenAttempt(attempt, lastEventId(), true, responseBudget);
    return backup;
  }

  /** Replaces the current attempt with the one beside it. */
  void promoteBackup() {
    releaseCurrent();
    current = backup;
    backup = null;
  }

  /** Cancels an attempt, if it is still open. */
  void cancelAttempt(int attempt) {
    if (backup != null && backup.number == attempt) {
      backup.release();
      backup = null;
    } else if (current != null && current.number == attempt && current.exchange != null) {
      current.exchange.cancel();
      current.exchange = null;
    }
  }

  /** Returns whether the events of an attempt are forwarded to the caller. */
  boolean forwards(OpenAttempt attempt) {
    return attempt == current && attempt.streaming;
  }

  /** Returns whether an attempt was neither canceled nor replaced. */
  boolean isOpen(OpenAttempt attempt) {
    return attempt == current || attempt == backup;
  }

  void release() {
    releaseCurrent();
    if (backup != null) {
      backup.release();
      backup = null;
    }
    request.release();
  }

  private void releaseCurrent() {
    if (current != null) {
      current.release();
      current = null;
    }
  }
}

package org.cornelchute.policy.routing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cornelchute.core.model.Generation;

/** State of one request in an entry, kept until the request has an outcome. */
final class RequestState {

  /** Stages of a request. */
  enum Stage {
    /** The claim row of the idempotency key is being read. */
    CLAIM_READ,
    /** The request is queued for an endpoint. */
    QUEUED,
    /** An endpoint is chosen and the claim row is being written. */
    CLAIM_WRITE,
    /** The request has been dispatched to an agent. */
    SENT,
    /** The entry asks the agent for the outcome of the attempt and seals it. */
    SEALING
  }

  final RequestSpec spec;

  /** Members on which an attempt at this request failed. */
  final Set<String> failedAgents = new HashSet<>();

  /** Parts received but not delivered to the caller yet. */
  final List<byte[]> bufferedParts = new ArrayList<>();

  Stage stage = Stage.QUEUED;

  /** Identity of the request in messages; requests with the same idempotency key share it. */
  String wireId;

  /** Number of the current attempt under the wire identity, 0 before the first. */
  int attempt;

  /** Number of times that this entry has dispatched the request. */
  int dispatchCount;

  String agent = "";
  String address = "";
  long boot;
  Generation generation = Generation.NONE;
  final long arrivedAt;

  /** Start of the wait that the timeout of the current stage limits. */
  long waitingSince;

  long retryNotBefore;
  long nextSealAt;
  long claimVersion;
  int nextPartIndex;
  long receivedBytes;

  int status;
  String contentType = "";
  String manifest = "";

  /** Whether {@link Endpoint#outstandingRequests} includes this request. */
  boolean countedAsOutstanding;

  /** Whether an earlier attempt may have run, so that a refusal as not run would be wrong. */
  boolean mayHaveRun;

  /** Whether the next attempt counts against the retry budget of the target. */
  boolean needsRetryBudget;

  boolean headReceived;
  boolean headDelivered;

  /** Whether the current attempt continues a response of which the caller has the head. */
  boolean resumed;

  /** Events with data that the caller has, comments and the like not counted. */
  int eventsDelivered;

  /** Whether the caller has the event that ends a stream. */
  boolean lastEventDelivered;

  /** Events that the caller had before the current attempt. */
  int eventsBeforeAttempt;

  /** Bytes received after the last complete event of a stream. */
  byte[] incompleteEvent = new byte[0];

  long bufferedBytes;
  long lastFrameAt;

  RequestState(RequestSpec spec, long now) {
    this.spec = spec;
    this.wireId = spec.id();
    this.waitingSince = now;
    this.arrivedAt = now;
  }

  /**
   * Discards the received part of an incomplete response, but keeps the state of what the caller
   * already has.
   */
  void resetResponse() {
    nextPartIndex = 0;
    receivedBytes = 0;
    headReceived = false;
    incompleteEvent = new byte[0];
    bufferedParts.clear();
    bufferedBytes = 0;
  }
}

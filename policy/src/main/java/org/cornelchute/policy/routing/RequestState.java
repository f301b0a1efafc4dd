package org.cornelchute.policy.routing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cornelchute.core.model.Generation;

/** What an entry remembers of one request until its caller has an answer. */
final class RequestState {

  /** Stages of a request in the entry. */
  enum Stage {
    /** The claim row of its idempotency key is being read. */
    CLAIM_READ,
    /** It waits for an endpoint. */
    QUEUED,
    /** The claim row is being written; the endpoint is chosen. */
    CLAIM_WRITE,
    /** An agent has it. */
    SENT,
    /** The entry asks an agent what became of it. */
    SEALING
  }

  final RequestSpec spec;
  final Set<String> failedAgents = new HashSet<>();
  final List<byte[]> bufferedParts = new ArrayList<>();
  Stage stage = Stage.QUEUED;
  String wireId;
  int attempt;
  int dispatchCount;
  String agent = "";
  String address = "";
  long boot;
  Generation generation = Generation.NONE;
  final long arrivedAt;
  long waitingSince;
  long retryNotBefore;
  long nextSealAt;
  long claimVersion;
  int nextPartIndex;
  long receivedBytes;
  int status;
  String contentType = "";
  String manifest = "";

  /** Whether the endpoint's outstanding count includes this request. */
  boolean countedAsOutstanding;

  /** Whether an attempt was lost that may have run, so that "not run" would not be true. */
  boolean mayHaveRun;

  /** Whether the next attempt has to be paid from the retry budget. */
  boolean needsRetryBudget;

  boolean headReceived;
  boolean headDelivered;
  int eventsDelivered;
  byte[] incompleteEvent = new byte[0];
  long bufferedBytes;
  long lastFrameAt;

  RequestState(RequestSpec spec, long now) {
    this.spec = spec;
    this.wireId = spec.id();
    this.waitingSince = now;
    this.arrivedAt = now;
  }

  /** Forgets the answer of an attempt that broke off; what the caller has already stays. */
  void resetResponse() {
    nextPartIndex = 0;
    receivedBytes = 0;
    headReceived = false;
    incompleteEvent = new byte[0];
    bufferedParts.clear();
    bufferedBytes = 0;
  }
}

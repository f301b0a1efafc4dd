package org.cornelchute.policy.routing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cornelchute.core.model.Generation;

/** What an entry remembers of one request until its caller has an answer. */
final class Live {

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
  final Set<String> failed = new HashSet<>();
  final List<byte[]> held = new ArrayList<>();
  Stage stage = Stage.QUEUED;
  String wire;
  int attempt;
  int reached;
  String agent = "";
  String address = "";
  long boot;
  Generation generation = Generation.NONE;
  final long arrived;
  long since;
  long notBefore;
  long nextSeal;
  long claimVersion;
  int nextPart;
  long receivedBytes;
  int status;
  String contentType = "";
  String manifest = "";

  /** Whether the endpoint's outstanding count includes this request. */
  boolean counted;

  /** Whether an attempt was lost that may have run, so that "not run" would not be true. */
  boolean mayHaveRun;

  /** Whether the next attempt has to be paid from the retry budget. */
  boolean retrying;

  boolean headReceived;
  boolean headDelivered;
  int eventsDelivered;
  byte[] tail = new byte[0];
  long heldBytes;
  long lastFrame;

  Live(RequestSpec spec, long now) {
    this.spec = spec;
    this.wire = spec.id();
    this.since = now;
    this.arrived = now;
  }

  /** Forgets the answer of an attempt that broke off; what the caller has already stays. */
  void resetAnswer() {
    nextPart = 0;
    receivedBytes = 0;
    headReceived = false;
    tail = new byte[0];
    held.clear();
    heldBytes = 0;
  }
}

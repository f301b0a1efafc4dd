package org.cornelchute.policy.admission;

import org.cornelchute.core.log.Decision;
import org.cornelchute.core.message.Message;
import org.cornelchute.core.message.ServingMessage.Dispatch;
import org.cornelchute.core.model.Load;

/** Action that an {@link AdmissionDecider} requests from its duty. */
public sealed interface AdmissionEffect {

  /** Forwards a request to the endpoint; the decider already counts it as running. */
  record Forward(AttemptKey key, Dispatch dispatch) implements AdmissionEffect {}

  /** Sends a message on an entry's connection; dropped if the connection is closed. */
  record Reply(long connection, Message message) implements AdmissionEffect {}

  /** Aborts a request at the endpoint. */
  record Abort(AttemptKey key) implements AdmissionEffect {}

  /** Sends the load to all connected entries. */
  record BroadcastLoad(Load load) implements AdmissionEffect {}

  /**
   * Queries the endpoint's status immediately, because it refused a connection or answered from an
   * unexpected manifest.
   */
  record RecheckEndpoint(String reason) implements AdmissionEffect {}

  /** Writes a decision to the decision log. */
  record Log(Decision decision) implements AdmissionEffect {}
}

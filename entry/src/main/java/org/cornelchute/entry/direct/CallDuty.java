package org.cornelchute.entry.direct;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.cornelchute.core.log.Decision;
import org.cornelchute.core.log.DecisionLog;
import org.cornelchute.net.wire.WireClient;
import org.cornelchute.net.wire.WireListener;
import org.cornelchute.net.wire.WireRequest;
import org.cornelchute.policy.forward.CallDecider;
import org.cornelchute.policy.forward.CallEffect;
import org.cornelchute.policy.forward.EndpointNotice;
import org.cornelchute.policy.forward.EndpointSpec;
import org.cornelchute.policy.forward.PlacementExplanation;
import org.cornelchute.policy.forward.PlacementQuery;
import org.cornelchute.policy.forward.Rejection;
import org.cornelchute.policy.forward.ResponseHead;
import org.cornelchute.policy.forward.ServingConfig;
import org.cornelchute.policy.forward.StallDetector;
import org.cornelchute.policy.forward.WeightsSwitch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Executes the effects of the {@link CallDecider}; owns the open calls and the caller connections.
 *
 * <p>All methods run on the event loop.
 */
final class CallDuty implements CallerConnection.Listener, ServingStateListener {

  private static final Logger LOG = LoggerFactory.getLogger(CallDuty.class);
  private static final long SWEEP_INTERVAL_MILLIS = 50;
  private static final long CONNECTION_CHECK_INTERVAL_MILLIS = 1_000;
  private static final int CONNECT_TIMEOUT_MILLIS = 250;

  /** Delay of a new call after a stall, in which a pending disconnect of its caller is read. */
  private static final long BACKLOG_DELAY_MILLIS = 20;

  private static final long MAX_CONNECTION_IDLE_MILLIS = 1_500;

  /** Maximum size of a response body that is buffered, twice that of request bodies by default. */
  private static final int MAX_RESPONSE_BODY_BYTES = 8_388_608;

  /** Share of the heap that buffered response bodies may use. */
  private static final double RESPONSE_MEMORY_SHARE = 0.2;

  private static final double MILLIS_PER_SECOND = 1_000.0;

  private final EventLoop loop;
  private final WireClient client;
  private final CallDecider decider;
  private final CallHeaderNames headerNames;
  private final LongSupplier clockMillis;
  private final Optional<OpenCallsReporter> openCallsReporter;
  private final ServingStateSource stateSource;
  private final CallCounts counts;
  private final Map<Long, OpenCall> openCalls = new HashMap<>();
  private final Set<CallerConnection> connections = new HashSet<>();
  private final ResponseBudget responseBudget =
      new ResponseBudget((long) (Runtime.getRuntime().maxMemory() * RESPONSE_MEMORY_SHARE));
  private final HeaderCopier headerCopier;
  private final CallSpecReader callSpecReader;
  private final ResponseHeadReader headReader;
  private final Meter arrivedMeter;
  private final Meter answeredMeter;
  private final Meter lostMeter;
  private final Histogram latencyHistogram;
  private final MetricRegistry metrics;
  private final StallDetector stallDetector = new StallDetector();
  private long lastCallNumber;
  private boolean draining;
  private boolean rejectingNewCalls;

  CallDuty(
      EventLoop loop,
      WireClient client,
      CallDecider decider,
      CallHeaderNames headerNames,
      LongSupplier clockMillis,
      Optional<OpenCallsReporter> openCallsReporter,
      ServingStateSource stateSource,
      MetricRegistry metrics) {
    this.loop = loop;
    this.client = client;
    this.decider = decider;
    this.headerNames = headerNames;
    this.clockMillis = clockMillis;
    this.openCallsReporter = openCallsReporter;
    this.stateSource = stateSource;
    this.metrics = metrics;
    this.counts = new CallCounts(metrics);
    this.headerCopier = new HeaderCopier(headerNames);
    this.callSpecReader = new CallSpecReader(headerNames);
    this.headReader = new ResponseHeadReader(headerNames);
    this.arrivedMeter = metrics.meter("calls.arrived");
    this.answeredMeter = metrics.meter("calls.answered");
    this.lostMeter = metrics.meter("calls.lost");
    this.latencyHistogram = metrics.histogram("calls.millis");
    metrics.register("calls.buffered.bytes", (Gauge<Long>) responseBudget::reservedBytes);
  }

  /** Schedules the periodic tasks. */
  void start() {
    schedule(this::sweep, SWEEP_INTERVAL_MILLIS);
    schedule(this::closeTimedOutConnections, CONNECTION_CHECK_INTERVAL_MILLIS);
  }

  /** Runs a task periodically, also after it failed: without it, no call would expire. */
  private void schedule(Runnable task, long intervalMillis) {
    loop.scheduleWithFixedDelay(
        () -> {
          try {
            task.run();
          } catch (RuntimeException | Error e) {
            LOG.error("periodic task failed, will run again", e);
          }
        },
        intervalMillis,
        intervalMillis,
        TimeUnit.MILLISECONDS);
  }

  // State

  boolean isReady() {
    long now = clockMillis.getAsLong();
    return decider.isReady(now) && !draining && !decider.shouldDivertCalls(now);
  }

  int openCallCount() {
    return openCalls.size();
  }

  /** Returns the number of requests that were read whole and have no end yet. */
  int unendedRequestCount() {
    int waiting = 0;
    for (CallerConnection connection : connections) {
      waiting += connection.waitingRequestCount();
    }
    return openCalls.size() + waiting;
  }

  /** Returns the number of calls whose responses have not been sent completely. */
  int unfinishedCallCount() {
    int sending = 0;
    for (CallerConnection connection : connections) {
      if (connection.isSending()) {
        sending++;
      }
    }
    return openCalls.size() + sending;
  }

  /**
   * Reports the entry as not ready and closes each caller connection after its next response, so
   * that callers move to other entries.
   */
  void startDraining() {
    draining = true;
  }

  /** Rejects new calls from now on and closes connections that stay idle. */
  void rejectNewCalls() {
    rejectingNewCalls = true;
    connections.forEach(CallerConnection::closeIfIdle);
  }

  /**
   * Rejects new calls from now on if all responses were sent completely, so that no call can come
   * between this check and the end of the process.
   *
   * @return whether they were
   */
  boolean tryFinish() {
    if (unfinishedCallCount() > 0) {
      return false;
    }
    rejectNewCalls();
    return true;
  }

  /**
   * Ends all calls whose responses are not complete, with a rejection if their responses have not
   * begun, and rejects new ones.
   */
  void endOpenCalls() {
    rejectNewCalls();
    try {
      apply(decider.onShutdown(clockMillis.getAsLong()));
    } finally {
      List.copyOf(openCalls.values())
          .forEach(call -> run(call, () -> endCall(call, "the process ends")));
    }
  }

  // Caller connections

  @Override
  public long currentMillis() {
    return clockMillis.getAsLong();
  }

  @Override
  public int maxBodyBytes() {
    return decider.config().limits().maxBodyBytes();
  }

  @Override
  public boolean allowsKeepAlive() {
    return !draining;
  }

  @Override
  public void onConnectionOpened(CallerConnection connection) {
    connections.add(connection);
  }

  @Override
  public void onConnectionClosed(CallerConnection connection) {
    connections.remove(connection);
  }

  @Override
  public void onRequestRead() {
    counts.recordRead();
  }

  @Override
  public void onRequestRejected(HttpHeaders headers, int status, boolean wasRead) {
    metrics.meter("calls.malformed." + status).mark();
    if (wasRead) {
      counts.recordEnd(CallCounts.End.REFUSED);
    }
    logEnd("refuse", headers, "MALFORMED: status=" + status + " whole=" + wasRead);
  }

  @Override
  public void onRequestDropped(HttpHeaders headers, String closeReason) {
    lostMeter.mark();
    if (closeReason.isEmpty()) {
      counts.recordEnd(CallCounts.End.GONE);
      logEnd("gone", headers, "caller disconnected before the response to an earlier request");
    } else {
      counts.recordEnd(CallCounts.End.CUT);
      logEnd("cut", headers, closeReason);
    }
  }

  @Override
  public void onRequest(CallerConnection connection, FullHttpRequest request) {
    arrivedMeter.mark();
    HttpHeaders headers = request.headers();
    long now = clockMillis.getAsLong();
    OpenCall call =
        new OpenCall(
            ++lastCallNumber,
            connection,
            request,
            HeaderNumber.parse(headers.get(headerNames.lastEventId()), -1),
            responseBudget,
            now);
    openCalls.put(call.number, call);
    connection.setCurrentCall(call);
    run(call, () -> startCall(call, now));
  }

  private void startCall(OpenCall call, long now) {
    if (rejectingNewCalls) {
      endCall(call, "the entry drains");
      recordRejection(Rejection.NOT_READY);
      return;
    }
    observeClocks(now);
    if (stallDetector.isProcessingBacklog(now)) {
      // The caller may have disconnected during the stall; the delay lets the event loop read that
      // first.
      loop.schedule(
          () -> run(call, () -> submitCall(call)), BACKLOG_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    } else {
      submitCall(call);
    }
  }

  private void submitCall(OpenCall call) {
    if (openCalls.containsKey(call.number)) {
      call.submitted = true;
      apply(decider.onCall(clockMillis.getAsLong(), callSpecReader.read(call)));
    }
  }

  private void observeClocks(long now) {
    long wallMillis = System.currentTimeMillis();
    stallDetector.observe(now, wallMillis);
    if (decider.detectSuspension(now, wallMillis)) {
      LOG.warn(
          "process was suspended; requesting a new confirmation of cached state from the store");
      stateSource.refresh();
    }
  }

  @Override
  public void onDisconnect(OpenCall call, String closeReason) {
    lostMeter.mark();
    long now = clockMillis.getAsLong();
    boolean gone = closeReason.isEmpty();
    try {
      if (call.submitted) {
        apply(
            gone
                ? decider.onCallerDisconnect(now, call.number)
                : decider.onConnectionClose(now, call.number, closeReason));
      } else {
        logEnd(
            gone ? "gone" : "cut",
            call.request.headers(),
            gone ? "caller disconnected after ms=" + (now - call.arrivedAt) : closeReason);
      }
    } finally {
      removeCall(call, gone ? CallCounts.End.GONE : CallCounts.End.CUT);
    }
  }

  @Override
  public void onWritabilityChanged(OpenCall call) {
    OpenAttempt current = call.current;
    if (current != null && current.streaming && current.exchange != null) {
      current.exchange.setReading(call.callerConnection.isWritable());
    }
  }

  // Serving state

  @Override
  public void recordFirstStart() {
    decider.recordFirstStart();
  }

  @Override
  public void updateConfig(ServingConfig config) {
    decider.updateConfig(config);
  }

  @Override
  public void replaceConfig(ServingConfig config) {
    decider.replaceConfig(config);
  }

  @Override
  public void updateEvacuatedDomains(Set<String> domains) {
    decider.updateEvacuatedDomains(domains);
  }

  @Override
  public void recordVersion(String model, long version, long minAgeMillis, long maxAgeMillis) {
    long now = clockMillis.getAsLong();
    decider.recordVersion(now - maxAgeMillis, now - minAgeMillis, model, version);
  }

  @Override
  public void recordVersionOfUnknownAge(String model, long version) {
    long now = clockMillis.getAsLong();
    observeClocks(now);
    decider.recordVersionOfUnknownAge(now, model, version);
  }

  @Override
  public void recordConfirmation(long askedAt) {
    observeClocks(clockMillis.getAsLong());
    decider.recordConfirmation(askedAt);
  }

  @Override
  public void awaitBlockedParts() {
    decider.crashEvidence().awaitStored();
  }

  @Override
  public void onBlockedPartsRead() {
    decider.crashEvidence().recordStoredRead();
  }

  @Override
  public void recordBlockedPart(long part, int crashCount) {
    decider.crashEvidence().recordStored(clockMillis.getAsLong(), part, crashCount);
  }

  @Override
  public int blockedCrashCount(long part) {
    return decider.crashEvidence().blockedCrashCount(clockMillis.getAsLong(), part);
  }

  @Override
  public void updateEndpoints(Collection<EndpointSpec> endpoints) {
    decider.updateEndpoints(clockMillis.getAsLong(), endpoints);
  }

  @Override
  public void onDirectoryRecovered() {
    decider.onDirectoryRecovered(clockMillis.getAsLong());
  }

  @Override
  public void updateWeightsSwitches(Map<String, WeightsSwitch> switchByHost) {
    decider.updateWeightsSwitches(clockMillis.getAsLong(), switchByHost);
  }

  @Override
  public void updateEntries(Map<String, EntryAddress> entryByName) {
    decider.updateEntries(entryByName.keySet());
    openCallsReporter.ifPresent(reporter -> reporter.updateEntries(entryByName));
  }

  // Explanation

  /** Explains where a call would be routed now, without a trace in the state of the entry. */
  PlacementExplanation explain(PlacementQuery query) {
    return rejectingNewCalls
        ? PlacementExplanation.rejected(
            decider.config().version(), "", Rejection.NOT_READY, "the entry drains")
        : decider.explain(clockMillis.getAsLong(), query);
  }

  /** Returns whether callers need keys and no key belongs to a workspace with a name. */
  boolean lacksWorkspace(String name) {
    ServingConfig config = decider.config();
    return config.requiresKeys() && config.findWorkspaceByName(name).isEmpty();
  }

  // Effects

  /**
   * Applies the effects of a decision. One that fails ends its call, of which no further effects
   * are applied, and not the other calls.
   */
  private void apply(List<CallEffect> effects) {
    Set<Long> failedCalls = Set.of();
    for (CallEffect effect : effects) {
      if (failedCalls.contains(effect.call())) {
        continue;
      }
      try {
        apply(effect);
      } catch (RuntimeException | Error e) {
        OpenCall call = openCalls.get(effect.call());
        if (call == null) {
          LOG.error("effect failed effect={}", effect, e);
        } else {
          failedCalls = new HashSet<>(failedCalls);
          failedCalls.add(call.number);
          endFailedCall(call, e);
        }
      }
    }
  }

  private void apply(CallEffect effect) {
    if (effect instanceof CallEffect.Log log) {
      DecisionLog.write(log.decision());
    } else if (effect instanceof CallEffect.Dispatch dispatch) {
      dispatch(dispatch);
    } else if (effect instanceof CallEffect.CancelAttempt cancel) {
      cancelAttempt(cancel);
    } else if (effect instanceof CallEffect.PromoteBackup promote) {
      promoteBackup(promote);
    } else if (effect instanceof CallEffect.StartStream start) {
      startStream(start);
    } else if (effect instanceof CallEffect.Complete complete) {
      completeCall(complete);
    } else if (effect instanceof CallEffect.Reject reject) {
      OpenCall call = openCalls.get(reject.call());
      if (call != null) {
        rejectCall(call, reject.rejection(), reject.retryAfterMillis());
      }
    } else if (effect instanceof CallEffect.AbortResponse abort) {
      abortResponse(abort);
    } else if (effect instanceof CallEffect.StoreBlockedPart blocked) {
      stateSource.storeBlockedPart(blocked.part(), blocked.crashCount());
    }
  }

  /** Runs a step of a call; one that fails ends the call, which may have no other end. */
  private void run(OpenCall call, Runnable step) {
    try {
      step.run();
    } catch (RuntimeException | Error e) {
      endFailedCall(call, e);
    }
  }

  /** Ends a call, unless it has ended, and makes the decider forget it. */
  private void endFailedCall(OpenCall call, Throwable cause) {
    LOG.error(
        "internal failure of a call id={} open={}",
        call.request.headers().get(headerNames.requestId()),
        openCalls.containsKey(call.number),
        cause);
    if (!openCalls.containsKey(call.number)) {
      return;
    }
    try {
      endCall(call, "internal failure");
    } catch (RuntimeException | Error e) {
      LOG.error("closing the connection of a call that cannot be rejected", e);
      abortResponse(call);
    }
    try {
      apply(decider.abandon(clockMillis.getAsLong(), call.number));
    } catch (RuntimeException | Error e) {
      LOG.error("the decider cannot forget a call", e);
    }
  }

  /**
   * Gives a call that the decider does not hold its final response: a rejection that tells whether
   * an endpoint may have executed it, or a visible break if its response has begun.
   */
  private void endCall(OpenCall call, String reason) {
    if (call.responseStarted) {
      logEnd("cut", call.request.headers(), reason);
      abortResponse(call);
      return;
    }
    Rejection rejection = call.mayBeSent ? Rejection.ANSWER_LOST : Rejection.NOT_READY;
    logEnd("refuse", call.request.headers(), rejection + ": " + reason);
    writeRejection(call, rejection, 0);
  }

  private void dispatch(CallEffect.Dispatch dispatch) {
    OpenCall call = openCalls.get(dispatch.call());
    if (call == null) {
      return;
    }
    OpenAttempt attempt =
        dispatch.backup()
            ? call.startBackup(dispatch.attempt())
            : call.startAttempt(dispatch.attempt());
    WireRequest request = toWireRequest(call, dispatch);
    request.message().retain();
    call.mayBeSent = true;
    // A send that fails immediately is handled later on the event loop, after the remaining
    // effects.
    attempt.exchange =
        client.send(request, new AttemptListener(call, attempt, dispatch.endpoint()));
  }

  /** Returns the request of an attempt, which shares its content with the call's. */
  private WireRequest toWireRequest(OpenCall call, CallEffect.Dispatch dispatch) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            call.request.method(),
            call.request.uri(),
            call.request.content().duplicate(),
            DefaultHttpHeadersFactory.headersFactory().newHeaders(),
            EmptyHttpHeaders.INSTANCE);
    HttpHeaders requestHeaders = request.headers();
    // A call that was accepted with a key may leave under a configuration without keys.
    boolean stripKey = decider.config().requiresKeys() || !dispatch.workspace().isEmpty();
    headerCopier.copyRequestHeaders(call.request.headers(), requestHeaders, stripKey);
    requestHeaders.set(headerNames.deadline(), Long.toString(dispatch.remainingMillis()));
    requestHeaders.set(headerNames.expectedInstance(), dispatch.endpoint().id());
    if (!dispatch.workspace().isEmpty()) {
      HeaderCopier.setText(requestHeaders, headerNames.workspace(), dispatch.workspace());
    }
    if (dispatch.priority() >= 0) {
      requestHeaders.set(
          headerNames.priority(), Integer.toString(Math.min(9, dispatch.priority())));
    }
    if (dispatch.expectedVersion() > 0) {
      requestHeaders.set(headerNames.expectedVersion(), Long.toString(dispatch.expectedVersion()));
    }
    if (dispatch.resumeAfterEventId() >= 0) {
      requestHeaders.set(headerNames.lastEventId(), Long.toString(dispatch.resumeAfterEventId()));
    }
    if (request.content().isReadable() || HttpUtil.isContentLengthSet(call.request)) {
      HttpUtil.setContentLength(request, request.content().readableBytes());
    }
    return new WireRequest(
        dispatch.endpoint().address(),
        request,
        headerNames.requestId(),
        dispatch.maxConnections(),
        CONNECT_TIMEOUT_MILLIS,
        MAX_CONNECTION_IDLE_MILLIS);
  }

  private void cancelAttempt(CallEffect.CancelAttempt effect) {
    OpenCall call = openCalls.get(effect.call());
    if (call != null) {
      call.cancelAttempt(effect.attempt());
    }
  }

  private void promoteBackup(CallEffect.PromoteBackup effect) {
    OpenCall call = openCalls.get(effect.call());
    if (call != null) {
      call.promoteBackup();
    }
  }

  private void startStream(CallEffect.StartStream effect) {
    OpenCall call = openCalls.get(effect.call());
    if (call == null) {
      return;
    }
    call.current.streaming = true;
    if (!call.responseStarted) {
      call.responseStarted = true;
      HttpResponse response =
          new DefaultHttpResponse(HttpVersion.HTTP_1_1, call.current.head.status());
      headerCopier.copyResponseHeaders(call.current.head.headers(), response.headers());
      call.callerConnection.startResponse(response);
      call.callerConnection.flush();
    }
    onWritabilityChanged(call);
  }

  private void completeCall(CallEffect.Complete effect) {
    OpenCall call = openCalls.get(effect.call());
    if (call == null) {
      return;
    }
    answeredMeter.mark();
    latencyHistogram.update(clockMillis.getAsLong() - call.arrivedAt);
    if (call.responseStarted) {
      removeCall(call, CallCounts.End.ANSWERED);
      call.callerConnection.completeResponse();
      return;
    }
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            call.current.head.status(),
            call.current.body().retainedDuplicate());
    headerCopier.copyResponseHeaders(call.current.head.headers(), response.headers());
    int reservedBytes = call.current.takeReservedBytes();
    removeCall(call, CallCounts.End.ANSWERED);
    call.callerConnection
        .writeResponse(response)
        .addListener(future -> responseBudget.release(reservedBytes));
  }

  private void rejectCall(OpenCall call, Rejection rejection, long retryAfterMillis) {
    recordRejection(rejection);
    writeRejection(call, rejection, retryAfterMillis);
  }

  private void recordRejection(Rejection rejection) {
    metrics.meter("calls.rejected." + rejection.name().toLowerCase(Locale.ROOT)).mark();
  }

  private void writeRejection(OpenCall call, Rejection rejection, long retryAfterMillis) {
    HttpResponseStatus status =
        switch (rejection) {
          case UNKNOWN_ROUTE -> HttpResponseStatus.NOT_FOUND;
          case UNKNOWN_KEY -> HttpResponseStatus.UNAUTHORIZED;
          case NOT_READY, OVERLOADED, NO_ENDPOINT, BLOCKED_PROMPT, EXPIRED_UNSENT ->
              HttpResponseStatus.SERVICE_UNAVAILABLE;
          case EXPIRED_SENT -> HttpResponseStatus.GATEWAY_TIMEOUT;
          case ANSWER_LOST -> HttpResponseStatus.BAD_GATEWAY;
        };
    FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
    String requestId = call.request.headers().get(headerNames.requestId());
    if (requestId != null) {
      response.headers().set(headerNames.requestId(), requestId);
    }
    if (status == HttpResponseStatus.SERVICE_UNAVAILABLE) {
      response
          .headers()
          .set(
              HttpHeaderNames.RETRY_AFTER,
              String.format(Locale.ROOT, "%.2f", retryAfterMillis / MILLIS_PER_SECOND));
    }
    removeCall(call, CallCounts.End.REFUSED);
    call.callerConnection.writeResponse(response);
  }

  private void abortResponse(CallEffect.AbortResponse effect) {
    OpenCall call = openCalls.get(effect.call());
    if (call != null) {
      abortResponse(call);
    }
  }

  private void abortResponse(OpenCall call) {
    lostMeter.mark();
    removeCall(call, CallCounts.End.CUT);
    call.callerConnection.abortResponse();
  }

  // Helpers

  private void removeCall(OpenCall call, CallCounts.End end) {
    if (openCalls.remove(call.number) != null) {
      counts.recordEnd(end);
      call.release();
    }
  }

  /** Writes the line on the end of a request that the decider did not get or no longer holds. */
  private void logEnd(String kind, HttpHeaders headers, String reason) {
    DecisionLog.write(
        new Decision(
            kind,
            headers.get(headerNames.requestId(), ""),
            "",
            List.of(),
            "",
            reason,
            decider.config().version()));
  }

  private void sweep() {
    long now = clockMillis.getAsLong();
    try {
      observeClocks(now);
      if (decider.needsSweep()) {
        recordPausedStreams();
        apply(decider.sweep(now));
      }
    } finally {
      endOverdueCalls(now);
    }
  }

  /** Ends calls that the decider forgot or failed to end, which have no other end. */
  private void endOverdueCalls(long now) {
    openCalls.values().stream()
        .filter(call -> call.submitted && decider.isOverdue(now, call.number))
        .toList()
        .forEach(call -> endFailedCall(call, new IllegalStateException("call without an end")));
  }

  /** Records which streams wait for their callers, so that none of them counts as stalled. */
  private void recordPausedStreams() {
    long now = clockMillis.getAsLong();
    for (OpenCall call : openCalls.values()) {
      if (call.current != null && call.current.streaming && !call.callerConnection.isWritable()) {
        decider.recordPause(now, call.number);
      }
    }
  }

  private void closeTimedOutConnections() {
    long now = clockMillis.getAsLong();
    ServingConfig.CallerLimits limits = decider.config().limits();
    for (CallerConnection connection : List.copyOf(connections)) {
      connection.closeIfTimedOut(now, limits.headerTimeoutMillis(), limits.idleTimeoutMillis());
    }
  }

  /** Receives the response to one attempt. */
  private final class AttemptListener implements WireListener {

    private final OpenCall call;
    private final OpenAttempt attempt;
    private final EndpointSpec endpoint;

    AttemptListener(OpenCall call, OpenAttempt attempt, EndpointSpec endpoint) {
      this.call = call;
      this.attempt = attempt;
      this.endpoint = endpoint;
    }

    @Override
    public void onHead(HttpResponse head) {
      run(call, () -> handleHead(head));
    }

    private void handleHead(HttpResponse head) {
      EndpointNotice notice = headReader.readNotice(head, endpoint);
      apply(decider.onEndpointNotice(clockMillis.getAsLong(), endpoint, notice));
      if (attempt.resumed && ResponseHeadReader.isOtherContent(head)) {
        // The caller has the head of an event stream, or may get it from another attempt.
        attempt.exchange.reject("success response to a resumed stream that is no event stream");
        return;
      }
      attempt.head = head;
      ResponseHead responseHead = headReader.read(head, endpoint);
      apply(
          decider.onResponseHead(
              clockMillis.getAsLong(), call.number, attempt.number, responseHead));
    }

    @Override
    public void onContent(ByteBuf bytes) {
      run(call, () -> handleContent(bytes));
    }

    private void handleContent(ByteBuf bytes) {
      if (!isOpen()) {
        return;
      }
      if (attempt == call.current && !attempt.streaming) {
        appendToBody(bytes);
        return;
      }
      byte[] copy = new byte[bytes.readableBytes()];
      bytes.readBytes(copy);
      List<byte[]> events = attempt.eventDecoder.decode(copy);
      if (!events.isEmpty()) {
        // This may promote the attempt, if it is the backup.
        apply(
            decider.onResponseProgress(
                clockMillis.getAsLong(),
                call.number,
                attempt.number,
                attempt.eventDecoder.lastEventId()));
      }
      if (call.forwards(attempt)) {
        decider.recordResumable(call.number, attempt.eventDecoder.isResumable());
        events.forEach(call.callerConnection::writeBodyPart);
        call.callerConnection.flush();
      }
      if (attempt.exchange != null) {
        attempt.eventDecoder.fault().ifPresent(attempt.exchange::reject);
      }
    }

    private boolean isOpen() {
      return openCalls.containsKey(call.number) && call.isOpen(attempt);
    }

    private void appendToBody(ByteBuf bytes) {
      if (bytes.readableBytes() > MAX_RESPONSE_BODY_BYTES - attempt.body().readableBytes()) {
        attempt.exchange.reject("response body exceeds " + MAX_RESPONSE_BODY_BYTES + " bytes");
      } else if (!attempt.appendToBody(bytes)) {
        metrics.meter("calls.unbuffered").mark();
        attempt.exchange.cancel();
        onFailure(true, "memory for response bodies is exhausted");
      }
    }

    @Override
    public void onEnd() {
      run(call, this::handleEnd);
    }

    private void handleEnd() {
      if (!isOpen()) {
        return;
      }
      long now = clockMillis.getAsLong();
      if (attempt.eventDecoder.hasPartialEvent()) {
        apply(
            decider.onAttemptFailure(
                now, call.number, attempt.number, true, "stream ended inside an event"));
      } else {
        apply(decider.onResponseEnd(now, call.number, attempt.number));
      }
    }

    @Override
    public void onFailure(boolean sent, String reason) {
      loop.execute(() -> run(call, () -> handleFailure(sent, reason)));
    }

    private void handleFailure(boolean sent, String reason) {
      apply(
          decider.onAttemptFailure(
              clockMillis.getAsLong(), call.number, attempt.number, sent, reason));
    }
  }
}

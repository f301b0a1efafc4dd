package org.cornelchute.policy.weights;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.cornelchute.core.log.Decision;
import org.cornelchute.core.message.SwarmMessage;
import org.cornelchute.core.model.Member;
import org.cornelchute.policy.util.RendezvousHash;

/**
 * Decides how one agent downloads the chunks of a model version and uploads them to its peers.
 *
 * <p>In each region, rendezvous hashing selects a few agents as importers. They read chunks from
 * outside the region, and each chunk is assigned to one of them. Inside the region, agents exchange
 * chunks rarest first (Cohen, "Incentives build robustness in BitTorrent", 2003) with a bounded
 * number of neighbors and of requests in flight. When no new chunk has reached the region for a
 * while, the next agent in the ranking imports in place of the assigned importer.
 */
public final class SwarmDecider {

  private static final int CORRUPT_CHUNKS_BEFORE_BACKOFF = 3;

  /** Consecutive timeouts after which the backoff of a peer doubles no further. */
  private static final int MAX_COUNTED_TIMEOUTS = 4;

  /** Backoff after each corrupt chunk of a peer from the third consecutive one on. */
  private static final long CORRUPT_BACKOFF_MILLIS = 5_000;

  /** Backoff after the first request to a peer that timed out; doubles with each further one. */
  private static final long TIMEOUT_BACKOFF_MILLIS = 250;

  /** Time without a reply to a handshake after which a peer is not expected to import. */
  private static final long HANDSHAKE_TIMEOUT_MILLIS = 500;

  /** Time since the last message after which a peer is considered unresponsive. */
  private static final long PEER_TIMEOUT_MILLIS = 1_000;

  private static final long REFUSAL_BACKOFF_MILLIS = 30;
  private static final long LOST_PEER_BACKOFF_MILLIS = 3_000;
  private static final long HANDSHAKE_INTERVAL_MILLIS = 2_000;

  /**
   * First interval between handshakes with the source region while none of its agents has replied:
   * those that do not know of the version yet ignore them. Doubles with each further one.
   */
  private static final long FIRST_SOURCE_HANDSHAKE_MILLIS = 250;

  /** Time without a message after which a region does not respond: two handshakes. */
  private static final long REGION_TIMEOUT_MILLIS =
      HANDSHAKE_INTERVAL_MILLIS + HANDSHAKE_TIMEOUT_MILLIS;

  /** Weight of a new sample in the moving average of request latencies. */
  private static final double LATENCY_SMOOTHING = 0.1;

  /** Request timeout as a multiple of the mean latency. */
  private static final double TIMEOUT_FACTOR = 4.0;

  /** Age at which a request is duplicated in the endgame, as a multiple of the mean latency. */
  private static final double ENDGAME_FACTOR = 2.0;

  private static final long MIN_REQUEST_TIMEOUT_MILLIS = 500;

  /** Weight of a new sample in the moving average of gaps between new chunks. */
  private static final double NEW_CHUNK_GAP_SMOOTHING = 0.2;

  /** Takeover delay as a multiple of the mean gap between new chunks. */
  private static final double TAKEOVER_FACTOR = 4.0;

  private static final double MILLIS_PER_SECOND = 1_000.0;

  /** Agents of the source region that such a handshake is sent to. */
  private static final int SOURCE_HANDSHAKES = 3;

  /** Stands for the origin where a peer ID is expected. */
  private static final String ORIGIN = "";

  private final String self;
  private final String region;
  private final OriginAccess originAccess;
  private final Manifest manifest;
  private final SwarmOptions options;
  private final Random random;
  private final BitSet heldChunks;

  /** Chunks that at least one agent of this region is known to hold. */
  private final BitSet regionChunks = new BitSet();

  private final Map<String, Peer> peers = new TreeMap<>();

  /** Open requests by chunk. */
  private final Map<Integer, List<OpenRequest>> openRequests = new HashMap<>();

  /** Time since when an agent of another region is known to hold a chunk, by chunk. */
  private final Map<Integer, Long> heldElsewhereSince = new HashMap<>();

  private final UploadQueue uploadQueue;
  private final RemoteNeighbors remoteNeighbors;
  private final ImporterProgress importerProgress;
  private List<String> importRanking = List.of();

  private boolean complete;
  private double meanLatencyMillis;
  private long lastNewChunkAt;
  private double meanNewChunkGapMillis;
  private long nextHandshakeAt;
  private long nextSourceHandshakeAt;
  private long sourceHandshakeMillis = FIRST_SOURCE_HANDSHAKE_MILLIS;
  private long importsPausedUntil;
  private long nextRemoteImportAt;
  private int importsInFlight;
  private int neighborRequestsInFlight;

  /**
   * Creates a decider.
   *
   * @param self member ID of this agent
   * @param region region of this agent
   * @param originRegion region of the origin
   * @param manifest manifest of the version
   * @param held chunks already held, reused from an earlier version
   * @param options limits of the chunk exchange
   * @param seed seed for random choices
   * @param now current time in milliseconds
   */
  public SwarmDecider(
      String self,
      String region,
      String originRegion,
      Manifest manifest,
      BitSet held,
      SwarmOptions options,
      long seed,
      long now) {
    this.self = self;
    this.region = region;
    this.manifest = manifest;
    this.options = options;
    this.random = new Random(seed);
    this.heldChunks = (BitSet) held.clone();
    this.regionChunks.or(held);
    this.lastNewChunkAt = now;
    this.importerProgress = new ImporterProgress(now);
    this.originAccess =
        new OriginAccess(region, originRegion, manifest.digest(), REGION_TIMEOUT_MILLIS, now);
    this.remoteNeighbors =
        new RemoteNeighbors(manifest.digest(), options.importers(), this::pairWeight);
    this.uploadQueue =
        new UploadQueue(options.uploadQueueCapacity(), 2 * options.maxRequestsPerPeer());
    this.meanLatencyMillis = options.maxRequestTimeoutMillis() / TIMEOUT_FACTOR;
  }

  // Accessors

  /** Returns the number of chunks held. */
  public int heldChunkCount() {
    return heldChunks.cardinality();
  }

  /** Returns whether every chunk is held. */
  public boolean isComplete() {
    return complete;
  }

  /** Returns the progress of the chunk exchange for the log; never null. */
  public SwarmProgress progress(long now) {
    int regionPeers = 0;
    int exchanging = 0;
    int backingOff = 0;
    int busy = 0;
    for (Peer peer : peers.values()) {
      if (peer.region.equals(region)) {
        regionPeers++;
        exchanging += peer.handshakeDone ? 1 : 0;
        backingOff += now < peer.backoffUntil ? 1 : 0;
        busy += peer.requestsInFlight > 0 ? 1 : 0;
      }
    }
    return new SwarmProgress(
        heldChunks.cardinality(),
        manifest.chunks().size(),
        regionChunks.cardinality(),
        neighborRequestsInFlight,
        importsInFlight,
        uploadQueue.size(),
        regionPeers,
        exchanging,
        backingOff,
        busy);
  }

  /** Returns the number of chunks queued for upload. */
  public int queuedUploadCount() {
    return uploadQueue.size();
  }

  // Inputs

  /** Updates the peers to the agents that want or hold this version; skips this agent itself. */
  public List<SwarmEffect> onMembersChanged(long now, Collection<Member> wanting) {
    Set<String> present = new HashSet<>();
    for (Member m : wanting) {
      if (m.id().equals(self)) {
        continue;
      }
      present.add(m.id());
      Peer known = peers.get(m.id());
      if (known == null || known.boot != m.boot() || !known.address.equals(m.address())) {
        if (known != null) {
          removePeer(known.id);
        }
        peers.put(m.id(), new Peer(m.id(), m.address(), m.region(), m.boot()));
      }
    }
    for (String id : new ArrayList<>(peers.keySet())) {
      if (!present.contains(id)) {
        removePeer(id);
      }
    }
    originAccess.updateRegions(peers.values());
    originAccess.update(now, peers.values());
    updateImportRanking(now);
    List<SwarmEffect> effects = new ArrayList<>();
    // All chunks may have been reused, so that none arrives.
    completeIfAllHeld(effects);
    sendHandshakes(now, effects);
    startRequests(now, effects);
    return effects;
  }

  /** Handles a message about this version from another agent. */
  public List<SwarmEffect> onMessage(long now, String from, SwarmMessage message) {
    List<SwarmEffect> effects = new ArrayList<>();
    Peer peer = peers.get(from);
    if (peer == null) {
      return effects;
    }
    markResponsive(now, peer);
    if (message instanceof SwarmMessage.Bitfield m) {
      peer.held.clear();
      peer.held.or(BitSet.valueOf(m.heldChunks()));
      peer.held.clear(
          manifest.chunks().size(), Math.max(manifest.chunks().size(), peer.held.length()));
      peer.handshakeDone = true;
      addRegionChunks(now, peer, peer.held);
      if (m.wantsReply()) {
        sendBitfield(effects, peer, false);
      }
    } else if (message instanceof SwarmMessage.Have m) {
      handleHave(now, effects, peer, m);
    } else if (message instanceof SwarmMessage.ChunkRequest m) {
      handleChunkRequest(effects, peer, m.chunk());
    } else if (message instanceof SwarmMessage.ChunkRefused m) {
      handleRefusal(now, effects, peer, m);
    }
    startRequests(now, effects);
    return effects;
  }

  private void handleHave(
      long now, List<SwarmEffect> effects, Peer peer, SwarmMessage.Have message) {
    if (!isInManifest(message.chunk())) {
      logOutOfRange(effects, peer, message.chunk());
      return;
    }
    peer.held.set(message.chunk());
    peer.queuedUploads = message.queueLength();
    addRegionChunks(now, peer, peer.held);
  }

  private void handleRefusal(
      long now, List<SwarmEffect> effects, Peer peer, SwarmMessage.ChunkRefused message) {
    if (!isInManifest(message.chunk())) {
      logOutOfRange(effects, peer, message.chunk());
      return;
    }
    if (message.chunkMissing()) {
      peer.held.clear(message.chunk());
    }
    peer.backoffUntil = now + REFUSAL_BACKOFF_MILLIS;
    closeRequest(message.chunk(), peer.id);
  }

  /** Returns whether a chunk index is one of the manifest; peers may send any number. */
  private boolean isInManifest(int chunk) {
    return chunk >= 0 && chunk < manifest.chunks().size();
  }

  private void logOutOfRange(List<SwarmEffect> effects, Peer peer, int chunk) {
    log(effects, "distrust", chunk, peer.id, "chunk number is not in the manifest");
  }

  /**
   * Handles a received chunk.
   *
   * @param from member ID of the sender, or empty for the origin
   * @param queueLength uploads queued at the sender
   * @param valid whether the bytes match the digest in the manifest
   * @return effects; the duty keeps the bytes only if {@code valid}
   */
  public List<SwarmEffect> onChunk(
      long now, String from, int chunk, int queueLength, boolean valid) {
    List<SwarmEffect> effects = new ArrayList<>();
    Peer peer = peers.get(from);
    OpenRequest request = closeRequest(chunk, from);
    if (peer != null) {
      markResponsive(now, peer);
      peer.queuedUploads = queueLength;
    }
    if (!valid) {
      log(effects, "distrust", chunk, from, "chunk does not match its digest");
      if (peer != null) {
        peer.consecutiveCorruptChunks++;
        if (isInManifest(chunk)) {
          peer.held.clear(chunk);
        }
        if (peer.consecutiveCorruptChunks >= CORRUPT_CHUNKS_BEFORE_BACKOFF) {
          peer.backoffUntil = now + CORRUPT_BACKOFF_MILLIS;
        }
      }
      startRequests(now, effects);
      return effects;
    }
    if (request != null && request.isImport) {
      importerProgress.onImported(now - request.sentAt);
    }
    if (request != null && peer != null) {
      meanLatencyMillis += LATENCY_SMOOTHING * (now - request.sentAt - meanLatencyMillis);
      peer.consecutiveCorruptChunks = 0;
      peer.consecutiveTimeouts = 0;
    }
    if (!heldChunks.get(chunk)) {
      heldChunks.set(chunk);
      if (!regionChunks.get(chunk)) {
        regionChunks.set(chunk);
        importerProgress.onNewChunk(now, importerIndex(chunk));
        recordNewChunk(now);
      }
      for (Peer each : peers.values()) {
        if (each.handshakeDone && !each.held.get(chunk)) {
          send(effects, each, new SwarmMessage.Have(manifest.digest(), chunk, uploadQueue.size()));
        }
      }
    }
    completeIfAllHeld(effects);
    startRequests(now, effects);
    return effects;
  }

  /**
   * Handles a failed read from the origin.
   *
   * <p>Pauses imports, with up to 200 ms of jitter, to give other importers time to succeed.
   */
  public List<SwarmEffect> onOriginFailure(long now, int chunk) {
    closeRequest(chunk, ORIGIN);
    importsPausedUntil = now + options.takeoverMillis() / 2 + random.nextInt(200);
    originAccess.recordFailure(now);
    List<SwarmEffect> effects = new ArrayList<>();
    startRequests(now, effects);
    return effects;
  }

  /** Handles the end of an upload; starts the next one. */
  public List<SwarmEffect> onUploadCompleted(long now) {
    List<SwarmEffect> effects = new ArrayList<>();
    uploadQueue.complete();
    startUpload(effects);
    return effects;
  }

  /** Handles the loss of the connection to an agent. */
  public List<SwarmEffect> onPeerLost(long now, String peerId) {
    List<SwarmEffect> effects = new ArrayList<>();
    Peer peer = peers.get(peerId);
    if (peer != null) {
      uploadQueue.removeAllOf(peerId);
      markLost(now, peer);
      updateImportRanking(now);
    }
    startRequests(now, effects);
    return effects;
  }

  /** Handles request timeouts, unresponsive peers, due handshakes and takeover of imports. */
  public List<SwarmEffect> tick(long now) {
    long peerTimeout = requestTimeoutMillis();
    for (Map.Entry<Integer, List<OpenRequest>> e : new ArrayList<>(openRequests.entrySet())) {
      for (OpenRequest r : new ArrayList<>(e.getValue())) {
        long timeout =
            r.peerId.equals(ORIGIN) ? 2 * options.maxRequestTimeoutMillis() : peerTimeout;
        if (now - r.sentAt >= timeout) {
          closeRequest(e.getKey(), r.peerId);
          backOffAfterTimeout(now, r.peerId);
        }
      }
    }
    for (Peer peer : peers.values()) {
      if (peer.handshakeDone
          && peer.consecutiveTimeouts > 0
          && now - peer.lastMessageAt >= PEER_TIMEOUT_MILLIS) {
        markLost(now, peer);
      }
    }
    if (now - lastNewChunkAt >= takeoverDelayMillis()) {
      recomputeRegionChunks();
    }
    originAccess.update(now, peers.values());
    updateImportRanking(now);
    List<SwarmEffect> effects = new ArrayList<>();
    sendHandshakes(now, effects);
    startRequests(now, effects);
    return effects;
  }

  /** Returns the timeout of a chunk request to a peer. */
  private long requestTimeoutMillis() {
    return Math.min(
        options.maxRequestTimeoutMillis(),
        Math.max(MIN_REQUEST_TIMEOUT_MILLIS, (long) (meanLatencyMillis * TIMEOUT_FACTOR)));
  }

  private void completeIfAllHeld(List<SwarmEffect> effects) {
    if (!complete && heldChunks.cardinality() == manifest.chunks().size()) {
      complete = true;
      effects.add(new SwarmEffect.Complete());
    }
  }

  // Requests

  private void startRequests(long now, List<SwarmEffect> effects) {
    if (complete) {
      return;
    }
    while (importsInFlight < options.maxImports() && now >= importsPausedUntil) {
      if (!startImport(now, effects)) {
        break;
      }
    }
    while (neighborRequestsInFlight < options.maxNeighborRequests()) {
      if (!requestRarestChunk(now, effects)) {
        break;
      }
    }
  }

  /** Starts one import that this agent may do now; returns false if there is none. */
  private boolean startImport(long now, List<SwarmEffect> effects) {
    int position = importRanking.indexOf(self);
    int count = manifest.chunks().size();
    // An origin that fails is no sign of importers that do; all would read from it once it is back.
    long waitedMillis = now - Math.max(lastNewChunkAt, originAccess.lastFailureAt());
    int allowedRank = (int) (waitedMillis / takeoverDelayMillis());
    if (position < 0 || position >= options.importers() && allowedRank == 0) {
      return false;
    }
    int startChunk =
        Math.floorMod(Long.hashCode(RendezvousHash.weight(self, manifest.digest())), count);
    for (int offset = 0; offset < count; offset++) {
      int chunk = (startChunk + offset) % count;
      if (heldChunks.get(chunk) || regionChunks.get(chunk) || openRequests.containsKey(chunk)) {
        continue;
      }
      if (importRank(chunk, position) > allowedRank) {
        continue;
      }
      Peer remote = findRemoteHolder(now, chunk);
      if (remote != null
          || originAccess.readsOrigin()
          || originAccess.mayReadAsLastResort(now, position)) {
        beginImport(now, effects, chunk, remote);
        return true;
      }
    }
    return position < options.importers() && importForStalledImporter(now, effects);
  }

  /**
   * Imports a chunk assigned to a stalled importer; called when no chunk assigned to this agent
   * remains to be requested.
   *
   * <p>Without this, one importer on a slow link would delay its chunks for the whole region. An
   * importer that misses no more chunks than it can have in flight is left to finish them, and one
   * that could not request a chunk earlier is given the time of a request. The chunk is chosen at
   * random so that several helping importers rarely import the same one.
   */
  private boolean importForStalledImporter(long now, List<SwarmEffect> effects) {
    Map<Integer, List<Integer>> missingByImporter = new TreeMap<>();
    for (int chunk = 0; chunk < manifest.chunks().size(); chunk++) {
      boolean missing = !heldChunks.get(chunk) && !regionChunks.get(chunk);
      if (missing && !openRequests.containsKey(chunk) && couldBeImported(now, chunk)) {
        missingByImporter.computeIfAbsent(importerIndex(chunk), i -> new ArrayList<>()).add(chunk);
      }
    }
    List<Integer> candidates = List.of();
    for (Map.Entry<Integer, List<Integer>> e : missingByImporter.entrySet()) {
      boolean stalled = importerProgress.isStalled(now, e.getKey());
      if (stalled && e.getValue().size() > candidates.size()) {
        candidates = e.getValue();
      }
    }
    if (candidates.size() <= options.maxImports()) {
      return false;
    }
    int chunk = candidates.get(random.nextInt(candidates.size()));
    Peer remote = findRemoteHolder(now, chunk);
    boolean originFailed = now - originAccess.lastFailureAt() < takeoverDelayMillis();
    if (remote != null || originAccess.readsOrigin() && !originFailed) {
      beginImport(now, effects, chunk, remote);
      return true;
    }
    return false;
  }

  /** Returns whether the importer of a chunk has had time to request and receive it. */
  private boolean couldBeImported(long now, int chunk) {
    Long since = heldElsewhereSince.get(chunk);
    return originAccess.readsOrigin() || since != null && now - since >= requestTimeoutMillis();
  }

  /** Returns this agent's rank, from 0, among those that may import a chunk; 0 imports it. */
  private int importRank(int chunk, int position) {
    return Math.floorMod(position - importerIndex(chunk), importRanking.size());
  }

  /** Returns the index, from 0, of the importer that a chunk is assigned to. */
  private int importerIndex(int chunk) {
    return chunk % Math.max(1, Math.min(options.importers(), importRanking.size()));
  }

  /** Starts to import a chunk from a remote peer, or from the origin if {@code remote} is null. */
  private void beginImport(long now, List<SwarmEffect> effects, int chunk, Peer remote) {
    if (options.remoteBytesPerSecond() > 0 && !originAccess.isSourceRegion()) {
      // Live requests share the link between regions, so each importer uses its share of the rate.
      int importers = Math.min(options.importers(), importRanking.size());
      double intervalMillis =
          MILLIS_PER_SECOND * manifest.sizeOf(chunk) * importers / options.remoteBytesPerSecond();
      nextRemoteImportAt = Math.max(nextRemoteImportAt, now) + (long) Math.ceil(intervalMillis);
      importsPausedUntil = Math.max(importsPausedUntil, nextRemoteImportAt);
    }
    String source = remote == null ? ORIGIN : remote.id;
    openRequests
        .computeIfAbsent(chunk, c -> new ArrayList<>(2))
        .add(new OpenRequest(source, now, true));
    importsInFlight++;
    if (remote == null) {
      effects.add(new SwarmEffect.FetchOrigin(chunk));
    } else {
      remote.requestsInFlight++;
      send(effects, remote, new SwarmMessage.ChunkRequest(manifest.digest(), chunk));
    }
    log(
        effects,
        "import",
        chunk,
        remote == null ? "origin" : remote.id,
        "this agent imports for its region");
  }

  /** Returns the usable holder in another region with the least backlog, null if none. */
  private Peer findRemoteHolder(long now, int chunk) {
    Peer best = null;
    for (Peer peer : peers.values()) {
      boolean usable =
          !peer.region.equals(region) && peer.held.get(chunk) && now >= peer.backoffUntil;
      if (usable && (best == null || peer.backlog() < best.backlog())) {
        best = peer;
      }
    }
    return best;
  }

  /** Requests the rarest chunk that an available neighbor holds; returns false if none is sent. */
  private boolean requestRarestChunk(long now, List<SwarmEffect> effects) {
    int count = manifest.chunks().size();
    int fewestHolders = Integer.MAX_VALUE;
    int rarestChunk = -1;
    Peer holder = null;
    int ties = 0;
    List<Peer> neighbors = availableNeighbors(now);
    if (neighbors.isEmpty()) {
      return false;
    }
    for (int chunk = heldChunks.nextClearBit(0);
        chunk < count;
        chunk = heldChunks.nextClearBit(chunk + 1)) {
      if (openRequests.containsKey(chunk)) {
        continue;
      }
      int holders = 0;
      Peer leastLoaded = null;
      for (Peer peer : neighbors) {
        if (peer.held.get(chunk)) {
          holders++;
          boolean less = leastLoaded == null || peer.backlog() < leastLoaded.backlog();
          if (less || peer.backlog() == leastLoaded.backlog() && random.nextInt(holders) == 0) {
            leastLoaded = peer;
          }
        }
      }
      if (leastLoaded == null || holders > fewestHolders) {
        continue;
      }
      ties = holders < fewestHolders ? 1 : ties + 1;
      if (holders < fewestHolders || random.nextInt(ties) == 0) {
        rarestChunk = chunk;
        holder = leastLoaded;
      }
      fewestHolders = holders;
    }
    if (holder == null) {
      return requestDuplicate(now, neighbors, effects);
    }
    requestFromNeighbor(now, effects, holder, rarestChunk);
    return true;
  }

  /** Endgame: requests a chunk whose first request is slow from a second holder as well. */
  private boolean requestDuplicate(long now, List<Peer> neighbors, List<SwarmEffect> effects) {
    for (Map.Entry<Integer, List<OpenRequest>> e : openRequests.entrySet()) {
      OpenRequest first = e.getValue().get(0);
      if (e.getValue().size() > 1 || now - first.sentAt < meanLatencyMillis * ENDGAME_FACTOR) {
        continue;
      }
      for (Peer peer : neighbors) {
        if (peer.held.get(e.getKey()) && !peer.id.equals(first.peerId)) {
          requestFromNeighbor(now, effects, peer, e.getKey());
          return true;
        }
      }
    }
    return false;
  }

  private void requestFromNeighbor(long now, List<SwarmEffect> effects, Peer peer, int chunk) {
    openRequests
        .computeIfAbsent(chunk, c -> new ArrayList<>(2))
        .add(new OpenRequest(peer.id, now, false));
    peer.requestsInFlight++;
    neighborRequestsInFlight++;
    send(effects, peer, new SwarmMessage.ChunkRequest(manifest.digest(), chunk));
  }

  private List<Peer> availableNeighbors(long now) {
    List<Peer> available = new ArrayList<>();
    for (Peer peer : peers.values()) {
      if (peer.region.equals(region)
          && peer.requestsInFlight < options.maxRequestsPerPeer()
          && now >= peer.backoffUntil
          && !peer.held.isEmpty()) {
        available.add(peer);
      }
    }
    return available;
  }

  /** Removes the request for a chunk to a peer or the origin; returns null if there is none. */
  private OpenRequest closeRequest(int chunk, String peerId) {
    List<OpenRequest> open = openRequests.get(chunk);
    if (open == null) {
      return null;
    }
    OpenRequest closed = null;
    Iterator<OpenRequest> each = open.iterator();
    while (each.hasNext()) {
      OpenRequest request = each.next();
      if (request.peerId.equals(peerId)) {
        each.remove();
        closed = request;
        break;
      }
    }
    if (open.isEmpty()) {
      openRequests.remove(chunk);
    }
    if (closed != null) {
      if (closed.isImport) {
        importsInFlight--;
      } else {
        neighborRequestsInFlight--;
      }
      Peer peer = peers.get(peerId);
      if (peer != null) {
        peer.requestsInFlight--;
      }
    }
    return closed;
  }

  private void closeRequests(String peerId) {
    for (int chunk : new ArrayList<>(openRequests.keySet())) {
      closeRequest(chunk, peerId);
    }
  }

  /** Requests nothing from a peer for a while after a timeout: its link may be saturated. */
  private void backOffAfterTimeout(long now, String peerId) {
    Peer peer = peers.get(peerId);
    if (peer != null) {
      peer.consecutiveTimeouts = Math.min(MAX_COUNTED_TIMEOUTS, peer.consecutiveTimeouts + 1);
      peer.backoffUntil =
          Math.max(
              peer.backoffUntil, now + (TIMEOUT_BACKOFF_MILLIS << peer.consecutiveTimeouts - 1));
    }
  }

  // Uploads

  private void handleChunkRequest(List<SwarmEffect> effects, Peer peer, int chunk) {
    boolean chunkMissing = !isInManifest(chunk) || !heldChunks.get(chunk);
    boolean toOtherRegion = !peer.region.equals(region);
    if (chunkMissing || !uploadQueue.offer(peer, chunk, toOtherRegion)) {
      send(effects, peer, new SwarmMessage.ChunkRefused(manifest.digest(), chunk, chunkMissing));
      return;
    }
    startUpload(effects);
  }

  private void startUpload(List<SwarmEffect> effects) {
    uploadQueue.startNext().ifPresent(effects::add);
  }

  // Peers

  /** Removes a peer that has left or restarted, with its requests and queued uploads. */
  private void removePeer(String id) {
    closeRequests(id);
    uploadQueue.removeAllOf(id);
    peers.remove(id);
    recomputeRegionChunks();
  }

  /** Resets a peer whose connection was lost or that does not respond on an open connection. */
  private void markLost(long now, Peer peer) {
    closeRequests(peer.id);
    peer.backoffUntil = now + LOST_PEER_BACKOFF_MILLIS;
    peer.lost = true;
    peer.handshakeDone = false;
    peer.consecutiveTimeouts = 0;
    peer.held.clear();
    recomputeRegionChunks();
  }

  /** Recomputes which chunks the region holds, since the only holder of a chunk may be lost. */
  private void recomputeRegionChunks() {
    regionChunks.clear();
    regionChunks.or(heldChunks);
    for (Peer peer : peers.values()) {
      if (peer.region.equals(region)) {
        regionChunks.or(peer.held);
      }
    }
  }

  /** Records that a peer responds; if it was marked as lost, its backoff ends at once. */
  private void markResponsive(long now, Peer peer) {
    if (peer.lost) {
      peer.lost = false;
      peer.backoffUntil = now;
    }
    peer.handshakeSentAt = 0;
    peer.lastMessageAt = now;
  }

  /**
   * Ranks the agents of this region for imports.
   *
   * <p>The member list may contain agents that have left. Peers that were lost, did not reply to a
   * handshake or sent no message for {@link #PEER_TIMEOUT_MILLIS} are excluded until they respond,
   * since the chunks assigned to them would be delayed. Peers that hold every chunk import nothing
   * and are excluded too.
   */
  private void updateImportRanking(long now) {
    List<String> candidates = new ArrayList<>();
    candidates.add(self);
    for (Peer peer : peers.values()) {
      boolean unanswered =
          peer.handshakeSentAt > 0 && now - peer.handshakeSentAt >= HANDSHAKE_TIMEOUT_MILLIS;
      boolean unresponsive = peer.handshakeDone && now - peer.lastMessageAt >= PEER_TIMEOUT_MILLIS;
      boolean holdsAll = peer.held.cardinality() == manifest.chunks().size();
      if (peer.region.equals(region) && !peer.lost && !unanswered && !unresponsive && !holdsAll) {
        candidates.add(peer.id);
      }
    }
    importRanking = RendezvousHash.order(manifest.digest(), candidates);
  }

  private void sendHandshakes(long now, List<SwarmEffect> effects) {
    if (now < nextHandshakeAt) {
      sendSourceHandshakes(now, effects);
      return;
    }
    nextHandshakeAt = now + HANDSHAKE_INTERVAL_MILLIS;
    List<Peer> regionPeers = new ArrayList<>();
    for (Peer peer : peers.values()) {
      if (peer.region.equals(region)) {
        regionPeers.add(peer);
      }
    }
    // Both peers of a pair compute the same weight, so most neighbors are mutual.
    regionPeers.sort(Comparator.comparingLong(this::pairWeight));
    sendHandshakesToFirst(now, regionPeers, options.neighbors(), effects);
    int position = importRanking.indexOf(self);
    if (!originAccess.isSourceRegion() && position >= 0 && position < options.importers()) {
      List<Peer> remotePeers =
          remoteNeighbors.order(
              peers.values(), region, originAccess.sourceRegion(), position, SOURCE_HANDSHAKES);
      sendHandshakesToFirst(now, remotePeers, options.importers(), effects);
    }
  }

  /** Repeats the handshakes with the source region until the counterpart there has answered. */
  private void sendSourceHandshakes(long now, List<SwarmEffect> effects) {
    int position = importRanking.indexOf(self);
    boolean imports =
        !originAccess.isSourceRegion() && position >= 0 && position < options.importers();
    if (!imports || now < nextSourceHandshakeAt) {
      return;
    }
    nextSourceHandshakeAt = now + sourceHandshakeMillis;
    sourceHandshakeMillis *= 2;
    List<Peer> source =
        remoteNeighbors.counterparts(peers.values(), originAccess.sourceRegion(), position);
    if (source.isEmpty() || source.get(0).handshakeDone) {
      return;
    }
    sendHandshakesToFirst(now, source, SOURCE_HANDSHAKES, effects);
  }

  private long pairWeight(Peer peer) {
    return self.compareTo(peer.id) < 0
        ? RendezvousHash.weight(self, peer.id)
        : RendezvousHash.weight(peer.id, self);
  }

  private void sendHandshakesToFirst(
      long now, List<Peer> ordered, int count, List<SwarmEffect> effects) {
    for (Peer peer : ordered.subList(0, Math.min(count, ordered.size()))) {
      if (!peer.handshakeDone || isSilent(now, peer)) {
        peer.handshakeSentAt = peer.handshakeSentAt == 0 ? now : peer.handshakeSentAt;
        sendBitfield(effects, peer, true);
      }
    }
  }

  /**
   * Returns whether a handshake is repeated because nothing was heard from a peer.
   *
   * <p>The peer may have lost its connection to this agent and forgotten the handshake, or a
   * message about a new chunk may have been lost.
   */
  private boolean isSilent(long now, Peer peer) {
    return !complete && now - peer.lastMessageAt >= HANDSHAKE_INTERVAL_MILLIS;
  }

  private void sendBitfield(List<SwarmEffect> effects, Peer peer, boolean wantsReply) {
    send(
        effects,
        peer,
        new SwarmMessage.Bitfield(manifest.digest(), heldChunks.toByteArray(), wantsReply));
  }

  private void addRegionChunks(long now, Peer peer, BitSet held) {
    if (!peer.region.equals(region)) {
      held.stream().forEach(c -> recordHeldElsewhere(now, c));
      return;
    }
    boolean added = false;
    for (int c = held.nextSetBit(0); c >= 0; c = held.nextSetBit(c + 1)) {
      if (!regionChunks.get(c)) {
        regionChunks.set(c);
        importerProgress.onNewChunk(now, importerIndex(c));
        added = true;
      }
    }
    if (added) {
      recordNewChunk(now);
    }
  }

  private void recordHeldElsewhere(long now, int chunk) {
    if (heldElsewhereSince.putIfAbsent(chunk, now) == null && !regionChunks.get(chunk)) {
      originAccess.recordProgressElsewhere(now);
    }
  }

  /** Updates the mean gap between the arrivals of chunks that are new to the region. */
  private void recordNewChunk(long now) {
    meanNewChunkGapMillis =
        meanNewChunkGapMillis == 0
            ? now - lastNewChunkAt
            : meanNewChunkGapMillis
                + NEW_CHUNK_GAP_SMOOTHING * (now - lastNewChunkAt - meanNewChunkGapMillis);
    lastNewChunkAt = now;
  }

  /**
   * Returns the time without a new chunk after which the next agent in the ranking imports.
   *
   * <p>It grows with the mean gap between new chunks, since chunks arrive less often on slow links,
   * up to the longest request timeout. Without that limit it would grow with each takeover, since a
   * gap that a takeover ends is as long as the delay.
   */
  private long takeoverDelayMillis() {
    long adapted = (long) (TAKEOVER_FACTOR * meanNewChunkGapMillis);
    return Math.max(options.takeoverMillis(), Math.min(options.maxRequestTimeoutMillis(), adapted));
  }

  private static void send(List<SwarmEffect> effects, Peer peer, SwarmMessage message) {
    effects.add(new SwarmEffect.Send(peer.id, peer.address, message));
  }

  private void log(
      List<SwarmEffect> effects, String kind, int chunk, String choice, String reason) {
    String subject = manifest.model() + ":" + manifest.version() + "#" + chunk;
    effects.add(new SwarmEffect.Log(new Decision(kind, subject, "", List.of(), choice, reason, 0)));
  }

  private record OpenRequest(String peerId, long sentAt, boolean isImport) {}
}

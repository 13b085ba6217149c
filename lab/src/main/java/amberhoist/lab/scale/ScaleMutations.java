package amberhoist.lab.scale;

import amberhoist.distribution.DistributionSettings;
import amberhoist.distribution.Distributor;
import amberhoist.distribution.Document;
import amberhoist.distribution.Message.Renew;
import amberhoist.distribution.Message.Reply;
import amberhoist.distribution.Message.Request;
import amberhoist.distribution.Subscriber;
import amberhoist.distribution.Transfer;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;

/** Creates distributors and subscribers, with the defects of {@link ScaleMutant} built in. */
final class ScaleMutations {
  private ScaleMutations() {}

  static Distributor newDistributor(ScaleMutant mutant, DistributionSettings settings, long now,
      BiConsumer<String, Reply> sender) {
    long startedAt = mutant == ScaleMutant.FORGETS_EARLIER_LIFE ? now - 4 * settings.leaseMicros() : now;
    Distributor distributor = new Distributor(settings, startedAt, sender) {
      @Override
      protected long leaseMicrosAt(long at) {
        return mutant == ScaleMutant.LEASE_OUTLASTS_OWN || mutant == ScaleMutant.GRANTS_WITHOUT_LEASE
            ? settings.leaseMicros() : super.leaseMicrosAt(at);
      }

      @Override
      protected boolean hasLease(long at) {
        return mutant == ScaleMutant.GRANTS_WITHOUT_LEASE || super.hasLease(at);
      }

      @Override
      protected boolean allPrepared(long at) {
        return mutant == ScaleMutant.REPORTS_BEFORE_ALL || super.allPrepared(at);
      }

      @Override
      protected boolean mayGrantLease(long at, Session session) {
        return mutant == ScaleMutant.GRANTS_AFTER_REPORT || super.mayGrantLease(at, session);
      }

      @Override
      protected boolean isAhead(Renew renew) {
        return mutant != ScaleMutant.TAKES_OLDER_VERSION && super.isAhead(renew);
      }

      @Override
      protected boolean tryAdmit(long at) {
        return super.tryAdmit(at) || mutant == ScaleMutant.ADMITS_WITHOUT_BOUND;
      }

      @Override
      protected Transfer transferTo(Document target, long held) {
        Transfer correct = super.transferTo(target, held);
        if (mutant != ScaleMutant.WRONG_BASE || correct.base() == 0) {
          return correct;
        }
        return new Transfer(correct.version(), correct.base(), correct.from() / 2, correct.removed(), 0,
            correct.body());
      }
    };
    if (mutant == ScaleMutant.FORGETS_EARLIER_LIFE) {
      distributor.extendLease(Long.MIN_VALUE); // as if it had held a lease before
    }
    return distributor;
  }

  static Subscriber newSubscriber(ScaleMutant mutant, DistributionSettings settings, String name, long incarnation,
      List<String> distributors, RandomGenerator random, long now, BiConsumer<String, Request> sender) {
    return new Subscriber(settings, name, incarnation, distributors, random, now, sender) {
      private long leaseUntil = Long.MIN_VALUE;

      @Override
      public long usableVersion(long at) {
        if (mutant == ScaleMutant.DECIDES_WHILE_PREPARED) {
          return at < leaseUntil ? inForce().version() : -1;
        }
        return mutant == ScaleMutant.COUNTS_FROM_GRANT && at < leaseUntil ? inForce().version()
            : super.usableVersion(at);
      }

      @Override
      public void onReply(long at, String distributor, Reply reply, int bytes) {
        super.onReply(at, distributor, reply, bytes);
        if (super.usableVersion(at) >= 0) {
          leaseUntil = at + 2 * settings.leaseMicros();
        }
      }

      @Override
      protected boolean isNewer(long version) {
        return mutant == ScaleMutant.TAKES_OLDER_VERSION ? version != inForce().version() : super.isNewer(version);
      }

      @Override
      protected boolean hasChecksum(Document document, long checksum) {
        return mutant == ScaleMutant.WRONG_BASE || super.hasChecksum(document, checksum);
      }
    };
  }
}

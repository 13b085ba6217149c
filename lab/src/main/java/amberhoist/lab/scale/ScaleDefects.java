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
final class ScaleDefects {
  private ScaleDefects() {}

  static Distributor distributor(ScaleMutant mutant, DistributionSettings settings, long now,
      BiConsumer<String, Reply> link) {
    long startedAt = mutant == ScaleMutant.FORGETS_EARLIER_LIFE ? now - 4 * settings.lease() : now;
    Distributor distributor = new Distributor(settings, startedAt, link) {
      @Override
      protected long leaseFor(long at) {
        return mutant == ScaleMutant.LEASE_OUTLASTS_OWN || mutant == ScaleMutant.GRANTS_WITHOUT_LEASE
            ? settings.lease() : super.leaseFor(at);
      }

      @Override
      protected boolean leased(long at) {
        return mutant == ScaleMutant.GRANTS_WITHOUT_LEASE || super.leased(at);
      }

      @Override
      protected boolean allPrepared(long at) {
        return mutant == ScaleMutant.REPORTS_BEFORE_ALL || super.allPrepared(at);
      }

      @Override
      protected boolean grants(long at, Session session) {
        return mutant == ScaleMutant.GRANTS_AFTER_REPORT || super.grants(at, session);
      }

      @Override
      protected boolean ahead(Renew renew) {
        return mutant != ScaleMutant.TAKES_OLDER_VERSION && super.ahead(renew);
      }

      @Override
      protected boolean admits(long at) {
        return super.admits(at) || mutant == ScaleMutant.ADMITS_WITHOUT_BOUND;
      }

      @Override
      protected Transfer transfer(Document target, long held) {
        Transfer correct = super.transfer(target, held);
        if (mutant != ScaleMutant.WRONG_BASE || correct.base() == 0) {
          return correct;
        }
        return new Transfer(correct.version(), correct.base(), correct.from() / 2, correct.removed(), 0,
            correct.body());
      }
    };
    if (mutant == ScaleMutant.FORGETS_EARLIER_LIFE) {
      distributor.lease(Long.MIN_VALUE); // as if it had held a lease before
    }
    return distributor;
  }

  static Subscriber subscriber(ScaleMutant mutant, DistributionSettings settings, String name, long incarnation,
      List<String> distributors, RandomGenerator random, long now, BiConsumer<String, Request> link) {
    return new Subscriber(settings, name, incarnation, distributors, random, now, link) {
      private long leaseUntil = Long.MIN_VALUE;

      @Override
      public long decides(long at) {
        if (mutant == ScaleMutant.DECIDES_WHILE_PREPARED) {
          return at < leaseUntil ? held().version() : -1;
        }
        return mutant == ScaleMutant.COUNTS_FROM_GRANT && at < leaseUntil ? held().version() : super.decides(at);
      }

      @Override
      public void receive(long at, String distributor, Reply reply, int bytes) {
        super.receive(at, distributor, reply, bytes);
        if (super.decides(at) >= 0) {
          leaseUntil = at + 2 * settings.lease();
        }
      }

      @Override
      protected boolean advances(long version) {
        return mutant == ScaleMutant.TAKES_OLDER_VERSION ? version != held().version() : super.advances(version);
      }

      @Override
      protected boolean sound(Document document, long checksum) {
        return mutant == ScaleMutant.WRONG_BASE || super.sound(document, checksum);
      }
    };
  }
}

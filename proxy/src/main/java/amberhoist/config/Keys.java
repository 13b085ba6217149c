package amberhoist.config;

import amberhoist.config.schema.Schema;

/** The schema of the operator's file. It is loaded only where such a file, a flag or a variable of it is given. */
final class Keys {
  static final Schema<Operator> SCHEMA = new Schema<>(Operator.class, Operator.DEFAULT);

  private Keys() {}
}

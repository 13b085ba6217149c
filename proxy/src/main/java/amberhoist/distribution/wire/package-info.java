/** Encoding of the distribution's messages: CBOR by Jackson, bounded in length. */
package amberhoist.distribution.wire;
